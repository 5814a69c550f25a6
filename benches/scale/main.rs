//! What a fleet costs as it grows, and how quick it is: hollow proxies, many to a process, beside a few real ones in one
//! cluster on loopback, in the plan's regions and zones. Never run by the tests.
//!
//! `cargo bench --bench scale -- [SIZE ..] [--phases NAME,..] [--seed N] [--real N] [--full] [--each N] [--cut SECONDS]
//! [--wave N] [--patience SECONDS] [--deadline SECONDS] [--json FILE] [--clockwork]` plays these sizes (30 100 300 900 1800) and
//! prints a JSON line for each phase and role, then the tables; `-- --table FILE ..` prints the tables of lines that earlier
//! runs wrote. With `--full` the real ones have the plan's whole file. A phase that fails ends the run; the rows before it are kept.
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
/// The codec of what is said about duties is the program's.
#[allow(dead_code)] // the program uses more of it
#[path = "../../src/net/cluster/coordination/message.rs"]
mod message;
mod observations;
mod report;
mod simulation;
/// What that takes from the program is the library's there as well.
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

/// The argument by which this executable is a worker of another run.
pub const WORKER_ARG: &str = "--hollow";
/// The plan's size.
const TARGET_SIZE: u32 = 1800;
/// Processes of a run at most.
const MAX_PROCESSES: u32 = 200;
/// Memory that is reckoned with, in kB: of a hollow proxy beside each other one, of a process, of a real proxy.
const LIGHT_PROXY_KB: u64 = 900;
const PROCESS_KB: u64 = 8_000;
const REAL_KB: u64 = 40_000;
const FULL_KB: u64 = 90_000;

struct Options {
    sizes: Vec<u32>,
    phases: Vec<String>,
    seed: u64,
    real: u32,
    full: bool,
    proxies_per_worker: u32,
    partition_s: u64,
    /// Hollow proxies of each worker that start at a time, twice a second, and seconds until all are to know all.
    wave: u32,
    join_timeout_s: u64,
    /// Seconds after which the run ends whatever it does.
    deadline_s: u64,
    json: Option<String>,
    /// Without sockets, on a clock of our own.
    clockwork: bool,
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
        wave: 4,
        join_timeout_s: 30,
        deadline_s: 3600,
        json: None,
        clockwork: false,
    };
    let mut rest = args.iter();
    while let Some(arg) = rest.next() {
        if let Ok(size) = arg.parse() {
            options.sizes.push(size);
            continue;
        }
        let mut value = || rest.next().ok_or(format!("{arg}: a value is missing"));
        let number = |text: &String| text.parse::<u32>().map_err(|e| format!("{arg}: {e}"));
        match arg.as_str() {
            "--bench" => {} // cargo's own
            "--phases" => options.phases = value()?.split(',').map(String::from).collect(),
            "--seed" => options.seed = u64::from(number(value()?)?),
            "--real" => options.real = number(value()?)?,
            "--full" => options.full = true,
            "--deadline" => options.deadline_s = u64::from(number(value()?)?),
            "--each" => options.proxies_per_worker = number(value()?)?.max(1),
            "--cut" => options.partition_s = u64::from(number(value()?)?),
            "--wave" => options.wave = number(value()?)?.max(1),
            "--patience" => options.join_timeout_s = u64::from(number(value()?)?),
            "--clockwork" => options.clockwork = true,
            "--json" => options.json = Some(value()?.clone()),
            other => return Err(format!("{other}: not known")),
        }
    }
    if options.sizes.is_empty() {
        options.sizes = vec![30, 100, 300, 900, TARGET_SIZE];
    }
    Ok(options)
}

/// Whether a run of that size is within what may be taken of the machine.
fn check_resources(size: u32, options: &Options) -> Result<(), String> {
    let workers = size
        .saturating_sub(options.real)
        .div_ceil(options.proxies_per_worker);
    let processes = workers + options.real + 1;
    if processes > MAX_PROCESSES {
        return Err(format!("{processes} processes, over {MAX_PROCESSES}"));
    }
    let light = u64::from(size) * LIGHT_PROXY_KB;
    let needed = light
        + u64::from(workers) * PROCESS_KB
        + u64::from(options.real) * if options.full { FULL_KB } else { REAL_KB };
    let available = report::available_kb();
    if needed > available / 2 {
        return Err(format!(
            "{needed} kB needed, over half of the {available} kB that can be had"
        ));
    }
    Ok(())
}

/// Plays all phases, or those before one that fails; whether all were played.
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
    if options.clockwork {
        let plan = plan::Plan {
            size,
            port: 1,
            seed: options.seed,
        };
        for row in simulation::Simulation::new(plan).run(&options.phases) {
            if let Some(file) = &mut output {
                writeln!(file, "{}", serde_json::to_string(&row).expect("plain data"))
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
        "{} real ones started: {:.1?}",
        fleet.real.len(),
        begun.elapsed()
    );
    let joined = fleet.join(
        options.wave,
        Duration::from_millis(500),
        Duration::from_secs(options.join_timeout_s),
    );
    eprintln!("{size} started: {:.1?}, {joined:?}", begun.elapsed());
    let seconds = Duration::from_secs;
    let spans = Spans {
        quiet: seconds(20),
        churn: seconds(40),
        facts: seconds(10),
        changes: seconds(40),
        loss: seconds(20),
        gone: seconds(30),
        back: seconds(15),
        cut: seconds(options.partition_s),
        heal: seconds(15),
        settle: seconds(10),
    };
    let mut play = PhaseRunner::new(fleet, spans, output);
    std::thread::sleep(spans.settle);
    let all_passed = options.phases.iter().all(|phase| {
        let result = catch_unwind(AssertUnwindSafe(|| play.run_phase(phase)));
        eprintln!(
            "{phase}: {} at {:.0?}",
            if result.is_ok() { "played" } else { "FAILED" },
            begun.elapsed()
        );
        result.is_ok()
    });
    rows.extend(play.rows());
    Ok(all_passed)
}

/// Ends this process, and with it the workers, and the real ones, if the run takes longer.
fn spawn_watchdog(deadline: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(deadline);
        eprintln!("scale: over its {deadline:?}");
        for process in real::LIVE_PROCESSES
            .lock()
            .expect("no panic under it")
            .iter()
        {
            let _ = std::process::Command::new("kill")
                .args(["-KILL", &process.to_string()])
                .status();
        }
        std::process::exit(3);
    });
}

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
