use super::*;

/// A limit that leaves a budget of [`MIN_LIMIT_BYTES`].
const SMALLEST_LIMIT_MB: f64 = 0.1;

fn smallest_budget() -> MemoryBudget {
    let budget = MemoryBudget::unlimited();
    budget.set_proxy_limit(Some(SMALLEST_LIMIT_MB));
    budget
}

/// The part of the budget that a buffer took is returned when the last reference to its bytes is dropped.
#[test]
fn a_dropped_body_returns_its_memory() {
    let budget = smallest_budget();
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
    let budget = smallest_budget();
    let mut buffer = budget.buffer(None);
    buffer.extend(&[1; 4_000]).unwrap();
    let _others = budget.reserve_always(MemoryKind::Requests, MIN_LIMIT_BYTES);
    assert!(buffer.extend(&[2; 4_000]).is_err());
    assert_eq!(buffer.as_ref(), [1; 4_000]);
}

/// Two processes at rest and what the peers of one make it hold stay within the limit, and so do two in use.
#[test]
fn the_processes_of_a_proxy_share_its_limit() {
    let budget = MemoryBudget::unlimited();
    budget.set_proxy_limit(Some(32.0));
    let alone = budget.limit_bytes();
    assert!(alone + 2 * PROCESS_BYTES < 32_000_000);
    budget.set_other_processes(Some(PROCESS_BYTES));
    assert_eq!(budget.limit_bytes(), alone);
    let other = PROCESS_BYTES + alone / 2;
    budget.set_other_processes(Some(other));
    assert!(budget.limit_bytes() + PROCESS_BYTES + other < 32_000_000);
    budget.set_other_processes(None);
    assert_eq!(budget.limit_bytes(), alone);
}

/// Memory that no reservation covers counts.
#[test]
fn allocated_memory_counts_where_it_is_more_than_reserved() {
    let budget = smallest_budget();
    let half = MIN_LIMIT_BYTES / 2;
    let _reservation = budget.reserve_always(MemoryKind::Requests, half);
    budget.set_allocated_bytes(MIN_LIMIT_BYTES);
    assert!(budget.reserve(MemoryKind::Requests, 1_000).is_err());
    budget.set_allocated_bytes(half);
    assert!(budget.reserve(MemoryKind::Requests, 1_000).is_ok());
}

/// Large requests do not use up what small ones need.
#[test]
fn a_part_of_the_budget_is_left_to_small_reservations() {
    let budget = smallest_budget();
    let large = SMALL_BYTES + 1;
    let mut kept = Vec::new();
    while let Ok(reservation) = budget.reserve(MemoryKind::Requests, large) {
        kept.push(reservation);
    }
    assert!(budget.reserve(MemoryKind::Requests, SMALL_BYTES).is_ok());
}
