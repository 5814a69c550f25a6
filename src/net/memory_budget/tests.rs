use super::*;

/// The part of the budget that a buffer took is returned when the last reference to its bytes is dropped.
#[test]
fn a_dropped_body_returns_its_memory() {
    let budget = MemoryBudget::unlimited();
    budget.set_process_limit(Some(1.0));
    let mut buffer = budget.buffer(None);
    buffer.extend(&[1; 200_000]).unwrap();
    assert!(budget.buffer(None).extend(&[1; 200_000]).is_err());
    let bytes = buffer.freeze();
    let slice = bytes.slice(10..);
    drop(bytes);
    assert!(budget.used_bytes() >= 200_000);
    drop(slice);
    assert_eq!(budget.used_bytes(), 0);
    assert!(budget.buffer(None).extend(&[1; 200_000]).is_ok());
}

/// A buffer that may not grow keeps what it has.
#[test]
fn a_rejected_extension_changes_nothing() {
    let budget = MemoryBudget::unlimited();
    budget.set_process_limit(Some(0.02)); // 5,000 bytes
    let mut buffer = budget.buffer(None);
    buffer.extend(&[1; 4_000]).unwrap();
    assert!(buffer.extend(&[2; 4_000]).is_err());
    assert_eq!(buffer.as_ref(), [1; 4_000]);
}
