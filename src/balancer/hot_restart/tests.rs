use super::*;

#[test]
fn processes_that_ended_share_budgets_for_one_overload_window() {
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
fn at_least_this_process_runs() {
    let mut processes = ProcessCount::new();
    processes.change(Time(0), 0, Micros(0));
    assert!(processes.is_single());
}
