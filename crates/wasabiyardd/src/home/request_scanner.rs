//! Finds the ends of batches in the raw `PostgreSQL` messages of a caller.

const HEADER_BYTES: usize = 5;
const QUERY: u8 = b'Q';
const SYNC: u8 = b'S';
const FLUSH: u8 = b'H';

/// Tracks message boundaries across chunks. Only tags and lengths are interpreted.
#[derive(Debug, Default)]
pub struct RequestScanner {
    header: [u8; HEADER_BYTES],
    filled: usize,
    remaining: usize,
    flushed: bool,
}

/// A message has an impossible length, so the boundaries after it are unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadLength;

impl RequestScanner {
    /// Whether a `Flush` was scanned. The caller may then wait for an answer before it ends the batch.
    pub const fn flushed(&self) -> bool {
        self.flushed
    }

    /// Returns the offset in `chunk` after each `Query` or `Sync` message that ends in it.
    ///
    /// # Errors
    ///
    /// When a message length is impossible.
    pub fn scan(&mut self, chunk: &[u8]) -> Result<Vec<usize>, BadLength> {
        let mut ends = Vec::new();
        let mut at = 0;
        while at < chunk.len() {
            if self.filled < HEADER_BYTES {
                let n = (HEADER_BYTES - self.filled).min(chunk.len() - at);
                self.header[self.filled..self.filled + n].copy_from_slice(&chunk[at..at + n]);
                self.filled += n;
                at += n;
                if self.filled < HEADER_BYTES {
                    break;
                }
                let [_, length @ ..] = self.header;
                self.remaining = (u32::from_be_bytes(length) as usize)
                    .checked_sub(4)
                    .ok_or(BadLength)?;
            }
            let n = self.remaining.min(chunk.len() - at);
            self.remaining -= n;
            at += n;
            if self.remaining == 0 {
                self.filled = 0;
                self.flushed |= self.header[0] == FLUSH;
                if matches!(self.header[0], QUERY | SYNC) {
                    ends.push(at);
                }
            }
        }
        Ok(ends)
    }
}
