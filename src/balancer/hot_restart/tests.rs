use super::*;

#[test]
fn an_ended_process_still_shares_budgets_for_one_overload_window() {
    let window = Micros(2_000_000);
    let mut processes = ProcessCount::new();
    processes.change(Time(0), 2, window);
    assert!(!processes.is_single());
    let ended_at = Time(10_000_000);
    processes.change(ended_at, 1, window);
    assert!(processes.is_single());
    assert_eq!(processes.sharing_budgets(ended_at), 2);
    assert_eq!(processes.sharing_budgets(ended_at + window), 1);
}

#[test]
fn the_process_count_is_at_least_one() {
    let mut processes = ProcessCount::new();
    processes.change(Time(0), 0, Micros(0));
    assert!(processes.is_single());
}
