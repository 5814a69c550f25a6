//! Reads a configuration file as text, and never more of it than a configuration may be long.

use std::fs;
use std::io::{self, Read};
use std::path::Path;

/// A longer file is refused: five times a fleet of 25,000 backends, 21,000 classes and 130,000 tenants.
const MAX_FILE_BYTES: u64 = 64 * 1024 * 1024;

/// Passes on the bytes of UTF-8 text. Anything else, and a text that is too long, is an error.
pub struct TextReader<R> {
    inner: R,
    bytes_left: u64,
    /// The first bytes of a character whose others are still to come.
    incomplete: Vec<u8>,
}

impl TextReader<fs::File> {
    pub fn open(path: &Path) -> io::Result<TextReader<fs::File>> {
        Ok(TextReader {
            inner: fs::File::open(path)?,
            bytes_left: MAX_FILE_BYTES,
            incomplete: Vec::new(),
        })
    }
}

impl<R: Read> TextReader<R> {
    /// Whether the text can go on with these bytes; none mean that it ends.
    fn accept(&mut self, bytes: &[u8]) -> bool {
        let joined = [&self.incomplete[..], bytes].concat();
        let (complete, is_text) = match std::str::from_utf8(&joined) {
            Ok(_) => (joined.len(), true),
            Err(error) => {
                let is_invalid = error.error_len().is_some();
                let is_cut_off = bytes.is_empty();
                (error.valid_up_to(), !is_invalid && !is_cut_off)
            }
        };
        self.incomplete = joined[complete..].to_vec();
        is_text
    }
}

impl<R: Read> Read for TextReader<R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let length = self.inner.read(buffer)?;
        let left = self.bytes_left.checked_sub(length as u64);
        self.bytes_left =
            left.ok_or_else(|| io::Error::other(format!("over {MAX_FILE_BYTES} bytes")))?;
        if !self.accept(&buffer[..length]) {
            let message = "stream did not contain valid UTF-8";
            return Err(io::Error::new(io::ErrorKind::InvalidData, message));
        }
        Ok(length)
    }
}
