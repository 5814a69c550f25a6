//! Measures the cost and latency of the control plane as the fleet grows. Each run starts a cluster on loopback, spread over
//! 7 regions and 27 zones: a few real proxy processes, and many lightweight proxies (membership, balancer and a
//! configuration replica, but no HTTP) that share worker processes. The tests don't run this bench.
//!
//! `cargo bench --bench scale -- [SIZE ..] [--phases NAME,..] [--seed N] [--real N] [--full] [--each N] [--cut SECONDS]
//! [--wave N] [--patience SECONDS] [--deadline SECONDS] [--json FILE] [--clockwork]` runs the given fleet sizes (default:
//! 30 100 300 900 1800) and prints a JSON line for each phase and role, then the tables. `-- --table FILE ..` prints the
//! tables of JSON lines that earlier runs wrote. With `--full` the real proxies load a configuration of the target
//! deployment's size; with `--clockwork` the run is a discrete-event simulation without sockets. A phase that fails ends
//! the run; the rows measured before it are kept.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

mod activation;
mod balancer_driver;
mod changes;
mod fleet;
#[path = "../common/generated.rs"]
mod generated;
mod holder;
mod light_proxy;
mod light_replica;
/// The proxy's own codec for coordination messages.
#[allow(dead_code)] // the bench uses only part of the codec
#[path = "../../src/net/cluster/coordination/message.rs"]
mod message;
mod observations;
mod report;
mod simulation;
/// The path under which the codec imports the wire format; the library exports it.
mod net {
    pub mod cluster {
        pub mod gossip {
            pub use meadowproxy::fleet::membership::wire;
        }
    }
}
mod idle_discovery;
mod phases;
mod plan;
mod protocol;
mod real;
mod relay;
#[path = "../../tests/rig/mod.rs"]
mod rig;
mod rows;
mod worker;

use fleet::{Fleet, FleetOptions};
use phases::{PhaseRunner, Spans};
use report::Row;
use std::io::Write;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::{Duration, Instant};

/// The first argument that makes this executable a worker process of another run.
pub const WORKER_ARG: &str = "--hollow";
/// Number of proxies in the target deployment.
const TARGET_SIZE: u32 = 1800;
/// Maximum number of processes of a run.
const MAX_PROCESSES: u32 = 200;
/// Memory estimates in kB: a lightweight proxy, a worker process, a real proxy, and a real proxy with `--full`.
const LIGHT_PROXY_KB: u64 = 900;
const PROCESS_KB: u64 = 8_000;
const REAL_KB: u64 = 40_000;
const FULL_KB: u64 = 90_000;

/// The command-line options of a run.
struct Options {
    sizes: Vec<u32>,
    phases: Vec<String>,
    seed: u64,
    /// Number of real proxy processes, at most a third of the fleet.
    real: u32,
    /// Whether real proxies load a configuration of the target deployment's size.
    full: bool,
    /// Maximum number of lightweight proxies in a worker process.
    proxies_per_worker: u32,
    /// Seconds that a region stays partitioned.
    partition_s: u64,
    /// Number of lightweight proxies that each worker starts at a time, twice a second.
    batch_size: u32,
    /// Seconds to wait until every proxy knows all others.
    join_timeout_s: u64,
    /// Seconds after which the run is aborted.
    deadline_s: u64,
    /// The file to which the JSON lines are appended.
    json: Option<String>,
    /// Whether to run the discrete-event simulation instead of processes and sockets.
    simulate: bool,
}

fn parse_options(args: &[String]) -> Result<Options, String> {
    let mut options = Options {
        sizes: Vec::new(),
        phases: phases::ALL.map(String::from).to_vec(),
        seed: 1,
        real: 5,
        full: false,
        proxies_per_worker: 60,
        partition_s: 60,
        batch_size: 4,
        join_timeout_s: 30,
        deadline_s: 3600,
        json: None,
        simulate: false,
    };
    let mut rest = args.iter();
    while let Some(arg) = rest.next() {
        if let Ok(size) = arg.parse() {
            options.sizes.push(size);
            continue;
        }
        let mut value = || rest.next().ok_or(format!("{arg}: missing value"));
        let number = |text: &String| text.parse::<u32>().map_err(|e| format!("{arg}: {e}"));
        match arg.as_str() {
            "--bench" => {} // passed by cargo
            "--phases" => options.phases = value()?.split(',').map(String::from).collect(),
            "--seed" => options.seed = u64::from(number(value()?)?),
            "--real" => options.real = number(value()?)?,
            "--full" => options.full = true,
            "--deadline" => options.deadline_s = u64::from(number(value()?)?),
            "--each" => options.proxies_per_worker = number(value()?)?.max(1),
            "--cut" => options.partition_s = u64::from(number(value()?)?),
            "--wave" => options.batch_size = number(value()?)?.max(1),
            "--patience" => options.join_timeout_s = u64::from(number(value()?)?),
            "--clockwork" => options.simulate = true,
            "--json" => options.json = Some(value()?.clone()),
            other => return Err(format!("{other}: unknown argument")),
        }
    }
    if options.sizes.is_empty() {
        options.sizes = vec![30, 100, 300, 900, TARGET_SIZE];
    }
    Ok(options)
}

/// Checks that a run of this size needs at most [`MAX_PROCESSES`] processes and half of the available memory.
fn check_resources(size: u32, options: &Options) -> Result<(), String> {
    let workers = size
        .saturating_sub(options.real)
        .div_ceil(options.proxies_per_worker);
    let processes = workers + options.real + 1;
    if processes > MAX_PROCESSES {
        return Err(format!(
            "{size} proxies need {processes} processes, over the limit of {MAX_PROCESSES}"
        ));
    }
    let light = u64::from(size) * LIGHT_PROXY_KB;
    let needed = light
        + u64::from(workers) * PROCESS_KB
        + u64::from(options.real) * if options.full { FULL_KB } else { REAL_KB };
    let available = report::available_kb();
    if needed > available / 2 {
        return Err(format!(
            "{size} proxies need {needed} kB, more than half of the {available} kB available"
        ));
    }
    Ok(())
}

/// Runs the phases at one size until one fails. Returns whether all of them passed.
fn run_size(size: u32, options: &Options, rows: &mut Vec<Row>) -> Result<bool, String> {
    check_resources(size, options)?;
    let open = |path| {
        std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
    };
    let mut output = options
        .json
        .as_ref()
        .map(open)
        .transpose()
        .map_err(|e| e.to_string())?;
    if options.simulate {
        let plan = plan::Plan {
            size,
            port: 1,
            seed: options.seed,
        };
        for row in simulation::Simulation::new(plan).run(&options.phases) {
            if let Some(file) = &mut output {
                writeln!(
                    file,
                    "{}",
                    serde_json::to_string(&row).expect("serializable data")
                )
                .map_err(|e| e.to_string())?;
            }
            rows.push(row);
        }
        return Ok(true);
    }
    let (real, full) = (options.real.min(size / 3), options.full);
    let fleet_options = FleetOptions {
        size,
        seed: options.seed,
        real,
        full,
        proxies_per_worker: options.proxies_per_worker,
        threads: false,
    };
    let begun = Instant::now();
    let mut fleet = Fleet::new(fleet_options);
    eprintln!(
        "{} real proxies started after {:.1?}",
        fleet.real.len(),
        begun.elapsed()
    );
    let convergence = fleet.join(
        options.batch_size,
        Duration::from_millis(500),
        Duration::from_secs(options.join_timeout_s),
    );
    eprintln!(
        "{size} proxies started after {:.1?}, {convergence:?}",
        begun.elapsed()
    );
    let seconds = Duration::from_secs;
    let spans = Spans {
        idle: seconds(20),
        churn: seconds(40),
        dead_backends: seconds(10),
        changes: seconds(40),
        packet_loss: seconds(20),
        after_failure: seconds(30),
        after_return: seconds(15),
        partition: seconds(options.partition_s),
        convergence_timeout: seconds(15),
        settle: seconds(10),
    };
    let mut runner = PhaseRunner::new(fleet, spans, output);
    std::thread::sleep(spans.settle);
    let all_passed = options.phases.iter().all(|phase| {
        let result = catch_unwind(AssertUnwindSafe(|| runner.run_phase(phase)));
        eprintln!(
            "phase {phase}: {} after {:.0?}",
            if result.is_ok() { "passed" } else { "FAILED" },
            begun.elapsed()
        );
        result.is_ok()
    });
    rows.extend(runner.rows());
    Ok(all_passed)
}

/// Kills the real proxies and exits with status 3 once the deadline has passed. Workers exit when their standard input
/// closes.
fn spawn_watchdog(deadline: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(deadline);
        eprintln!("scale: the run exceeded its deadline of {deadline:?}");
        for process in real::LIVE_PROCESSES
            .lock()
            .expect("the lock is not poisoned")
            .iter()
        {
            let _ = std::process::Command::new("kill")
                .args(["-KILL", &process.to_string()])
                .status();
        }
        std::process::exit(3);
    });
}

/// Reads the rows that earlier runs wrote as JSON lines.
fn read_rows(files: &[String]) -> Result<Vec<Row>, String> {
    let mut rows = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
        for line in text.lines() {
            rows.push(serde_json::from_str(line).map_err(|e| format!("{file}: {e}"))?);
        }
    }
    Ok(rows)
}

fn print_tables(rows: &[Row]) {
    report::print_cost_table(rows);
    println!();
    report::print_control_table(rows);
    println!();
    report::print_fits(rows, TARGET_SIZE);
}

fn run(args: &[String]) -> Result<(), String> {
    if let Some(at) = args.iter().position(|arg| arg == "--table") {
        let files: Vec<String> = args[at + 1..]
            .iter()
            .filter(|a| *a != "--bench")
            .cloned()
            .collect();
        print_tables(&read_rows(&files)?);
        return Ok(());
    }
    let options = parse_options(args)?;
    spawn_watchdog(Duration::from_secs(options.deadline_s));
    let (mut rows, mut all_passed) = (Vec::new(), true);
    for size in &options.sizes {
        all_passed &= run_size(*size, &options, &mut rows)?;
    }
    print_tables(&rows);
    if all_passed {
        Ok(())
    } else {
        Err("a phase failed".into())
    }
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|arg| arg == WORKER_ARG) {
        return worker::process();
    }
    if let Err(why) = run(&args) {
        eprintln!("scale: {why}");
        std::process::exit(2);
    }
}
