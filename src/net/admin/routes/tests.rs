//! Decoding of request targets.

use super::*;

#[test]
fn backend_ids_are_read_only_from_valid_queries() {
    for (query, id) in [("who=a-1", "a-1"), ("x=1&who=a%2F%c3%a9+b&y", "a/é b")] {
        assert_eq!(backend_id(Some(query)).as_deref(), Ok(id), "{query}");
    }
    for invalid in [
        "",
        "who",
        "who=",
        "whom=a",
        "who=a&who=a",
        "who=%",
        "who=%4",
        "who=%zz",
        "who=%ff",
    ] {
        assert!(backend_id(Some(invalid)).is_err(), "{invalid}");
    }
    assert!(backend_id(None).is_err());
}
