//! The bounded set of names.

use super::*;

fn hash(number: usize) -> NameHash {
    NameHash::of(&format!("s-{number}"))
}

/// Names are handed out as new once, and those of an earlier process never.
#[test]
fn names_are_new_once() {
    let mut names = ListedNames::default();
    names.add(hash(1));
    names.restore(&[hash(0), hash(1)]);
    for number in [0, 2, 1] {
        names.add(hash(number));
    }
    assert_eq!(names.take_new(), [hash(1), hash(2)]);
    assert!(names.take_new().is_empty());
    names.add(hash(3));
    assert_eq!(names.take_new(), [hash(3)]);
    assert!(names.contains(hash(0)) && !names.contains(hash(4)));
}

/// Names that change for ever take bounded memory, and the newest are kept.
#[test]
fn the_oldest_names_are_forgotten() {
    let mut names = ListedNames::default();
    (0..MAX_NAMES + 10).for_each(|number| names.add(hash(number)));
    assert_eq!(names.by_age.len(), MAX_NAMES);
    assert_eq!(names.hashes.len(), MAX_NAMES);
    assert!(!names.contains(hash(9)) && names.contains(hash(10)));
    assert_eq!(names.take_new().len(), MAX_NAMES);
    names.restore(&[hash(9)]);
    assert!(
        !names.contains(hash(9)),
        "there is no room for an older name"
    );
}
