//! Targets of calls.

use super::*;

#[test]
fn an_id_is_taken_only_from_a_sound_query() {
    for (query, id) in [("who=a-1", "a-1"), ("x=1&who=a%2F%c3%a9+b&y", "a/é b")] {
        assert_eq!(backend_id(Some(query)).as_deref(), Ok(id), "{query}");
    }
    for bad in [
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
        assert!(backend_id(Some(bad)).is_err(), "{bad}");
    }
    assert!(backend_id(None).is_err());
}
