//! The encoding of backend ids in file names.

use super::*;

#[test]
fn file_names_decode_to_their_ids() {
    for id in ["s-5be2a07c", "../x", "é /", "a"] {
        let name = file_name("", id);
        assert_eq!(decode_id(name.to_str().unwrap()).as_deref(), Some(id));
    }
    for invalid in ["", "6", "zz", "+1", "ff", "e9"] {
        assert_eq!(decode_id(invalid), None, "{invalid}");
    }
}
