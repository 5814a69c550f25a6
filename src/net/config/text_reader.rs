//! [`TextReader`] reads a configuration file, and rejects files that are too large or not UTF-8.

use std::fs;
use std::io::{self, Read};
use std::path::Path;

/// Maximum size of a file, in bytes: five times what 25,000 backends, 21,000 classes and 130,000 tenants take.
const MAX_FILE_BYTES: u64 = 64 * 1024 * 1024;

/// A reader that passes bytes on, and fails if they are not valid UTF-8 or more than [`MAX_FILE_BYTES`].
pub struct TextReader<R> {
    inner: R,
    bytes_left: u64,
    /// The first bytes of a character whose remaining bytes have not been read yet.
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
    /// Returns whether the text read so far and `bytes` are valid UTF-8, possibly with an incomplete character at the
    /// end. Empty `bytes` mean the end of the file, where a character must be complete.
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
        self.bytes_left = left
            .ok_or_else(|| io::Error::other(format!("the file is over {MAX_FILE_BYTES} bytes")))?;
        if !self.accept(&buffer[..length]) {
            let message = "stream did not contain valid UTF-8";
            return Err(io::Error::new(io::ErrorKind::InvalidData, message));
        }
        Ok(length)
    }
}
