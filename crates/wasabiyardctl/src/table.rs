//! Formats text tables for the terminal.

/// Formats rows as lines with aligned columns; the caller gives the headings as the first row.
pub fn format_table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |c: usize| {
        rows.iter()
            .filter_map(|row| row.get(c))
            .map(|cell| cell.chars().count())
            .max()
    };
    let widths: Vec<_> = (0..columns).map(|c| width(c).unwrap_or(0)).collect();
    let mut out = String::new();
    for row in rows {
        let cells = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"));
        out.push_str(cells.collect::<Vec<_>>().join("  ").trim_end());
        out.push('\n');
    }
    out
}

/// Makes a row of owned cells.
pub fn row<const N: usize>(cells: [&str; N]) -> Vec<String> {
    cells.iter().map(|cell| (*cell).to_owned()).collect()
}
