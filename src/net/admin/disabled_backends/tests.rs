//! Names of files.

use super::*;

#[test]
fn names_of_files_give_back_the_ids() {
    for id in ["s-5be2a07c", "../x", "é /", "a"] {
        let name = file_name("", id);
        assert_eq!(decode_id(name.to_str().unwrap()).as_deref(), Some(id));
    }
    for odd in ["", "6", "zz", "+1", "ff", "e9"] {
        assert_eq!(decode_id(odd), None, "{odd}");
    }
}
