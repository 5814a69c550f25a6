//! The names of backends that were listed once, recorded in the folder that the processes of this proxy share.
//!
//! With the file, a process knows what an earlier one had in its list, and so whether an operator's call names a
//! backend or is a mistake. Each line is a [`NameHash`] in hex. Processes only append lines, and skip malformed ones,
//! such as the last line of a process that was killed.

use crate::net::host::{Host, NameHash};
use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tracing::warn;

const FILE_NAME: &str = "listed-names";
/// The size from which nothing is appended, which some 240,000 names have. The folder ends with the deployment's `$TMPDIR`.
const MAX_FILE_BYTES: u64 = 4 << 20;

/// The file, and the host whose names it records.
pub struct ListedNamesFile {
    host: Rc<Host>,
    path: PathBuf,
}

impl ListedNamesFile {
    /// Opens the file in `folder`, and passes the names in it to the host.
    pub fn restore(host: Rc<Host>, folder: &Path) -> ListedNamesFile {
        let path = folder.join(FILE_NAME);
        match read(&path) {
            Ok(names) => host.restore_listed_names(&names),
            Err(error) => warn!(
                "TMPDIR: {FILE_NAME}: operators' calls about backends that are no longer listed may be rejected: {error}"
            ),
        }
        ListedNamesFile { host, path }
    }

    /// Appends the names that were listed for the first time since the last call.
    pub fn append_new(&self) {
        let names = self.host.take_new_listed_names();
        if names.is_empty() {
            return;
        }
        if let Err(error) = append(&self.path, &names) {
            warn!(
                "TMPDIR: {FILE_NAME}: {} names are not recorded for the next process: {error}",
                names.len()
            );
        }
    }
}

fn read(path: &Path) -> io::Result<Vec<NameHash>> {
    let mut text = Vec::new();
    match File::open(path) {
        Ok(file) => file.take(MAX_FILE_BYTES).read_to_end(&mut text)?,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(error),
    };
    Ok(text
        .split(|byte| *byte == b'\n')
        .filter_map(parse)
        .collect())
}

fn parse(line: &[u8]) -> Option<NameHash> {
    let mut hash = NameHash::default();
    hex::decode_to_slice(line, &mut hash.0).ok()?;
    Some(hash)
}

fn append(path: &Path, names: &[NameHash]) -> io::Result<()> {
    let mut file = OpenOptions::new().append(true).create(true).open(path)?;
    if file.metadata()?.len() >= MAX_FILE_BYTES {
        return Err(io::Error::other("the file has reached its maximum size"));
    }
    // Starts with a new line too, as the last line of a process that was killed may be incomplete.
    let mut text = String::from("\n");
    for name in names {
        text.push_str(&hex::encode(name.0));
        text.push('\n');
    }
    file.write_all(text.as_bytes())
}

#[cfg(test)]
mod tests;
