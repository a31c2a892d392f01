//! The little JSON that the store needs: the raw text of a field, without decoding what lies inside.

/// The raw text of the field `key` of the object `text`.
pub fn field<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut i = skip_space(bytes, 0);
    if bytes.get(i) != Some(&b'{') {
        return None;
    }
    i = skip_space(bytes, i + 1);
    while bytes.get(i) == Some(&b'"') {
        let name_end = end_of_value(bytes, i)?;
        let name = &text[i + 1..name_end - 1];
        i = skip_space(bytes, name_end);
        if bytes.get(i) != Some(&b':') {
            return None;
        }
        i = skip_space(bytes, i + 1);
        let value_end = end_of_value(bytes, i)?;
        if name == key {
            return Some(text[i..value_end].trim_end());
        }
        i = skip_space(bytes, value_end);
        if bytes.get(i) != Some(&b',') {
            return None;
        }
        i = skip_space(bytes, i + 1);
    }
    None
}

/// The field `key` as text, when it is a string without escapes.
pub fn string<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    field(text, key)?.strip_prefix('"')?.strip_suffix('"')
}

fn skip_space(bytes: &[u8], mut i: usize) -> usize {
    while bytes.get(i).is_some_and(u8::is_ascii_whitespace) {
        i += 1;
    }
    i
}

/// End of the value that starts at `i`.
fn end_of_value(bytes: &[u8], mut i: usize) -> Option<usize> {
    let mut depth = 0;
    loop {
        match *bytes.get(i)? {
            b'"' => {
                i += 1;
                while *bytes.get(i)? != b'"' {
                    i += if bytes[i] == b'\\' { 2 } else { 1 };
                }
                i += 1;
            }
            b'{' | b'[' => {
                depth += 1;
                i += 1;
            }
            b'}' | b']' => {
                depth -= 1;
                i += 1;
            }
            b',' | b':' => i += 1,
            c if c.is_ascii_whitespace() => i += 1,
            _ => {
                while bytes
                    .get(i)
                    .is_some_and(|c| !b",]}:".contains(c) && !c.is_ascii_whitespace())
                {
                    i += 1;
                }
            }
        }
        if depth == 0 {
            return Some(i);
        }
    }
}
