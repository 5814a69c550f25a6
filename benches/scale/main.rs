//! What a fleet costs as it grows, and how quick it is: hollow proxies, many to a process, beside a few real ones in one
//! cluster on loopback, in the plan's regions and zones. Never run by the tests.
//!
//! `cargo bench --bench scale -- [SIZE ..] [--phases NAME,..] [--seed N] [--real N] [--full] [--each N] [--cut SECONDS]
//! [--wave N] [--patience SECONDS] [--deadline SECONDS] [--json FILE] [--clockwork]` plays these sizes (30 100 300 900 1800) and
//! prints a JSON line for each phase and role, then the tables; `-- --table FILE ..` prints the tables of lines that earlier
//! runs wrote. With `--full` the real ones have the plan's whole file. A phase that fails ends the run; the rows before it are kept.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

mod balance;
mod changes;
mod clockwork;
mod figures;
mod fleet;
#[path = "../common/generated.rs"]
mod generated;
mod holder;
mod hollow;
mod hollow_replica;
mod in_force;
mod learned;
/// The codec of what is said about duties is the program's.
#[allow(dead_code)] // the program uses more of it
#[path = "../../src/net/cluster/coordination/message.rs"]
mod message;
/// What that takes from the program is the library's there as well.
mod net {
    pub mod cluster {
        pub mod gossip {
            pub use meadowproxy::fleet::membership::wire;
        }
    }
}
mod phases;
mod plan;
mod protocol;
mod quiet;
mod real;
mod relay;
#[path = "../../tests/rig/mod.rs"]
mod rig;
mod rows;
mod worker;

use figures::Row;
use fleet::{Fleet, Shape};
use phases::{Play, Spans};
use std::io::Write;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::{Duration, Instant};

/// The argument by which this executable is a worker of another run.
pub const HIDDEN: &str = "--hollow";
/// The plan's size.
const PLAN: u32 = 1800;
/// Processes of a run at most.
const MOST_PROCESSES: u32 = 200;
/// Memory that is reckoned with, in kB: of a hollow proxy beside each other one, of a process, of a real proxy.
const HOLLOW_KB: u64 = 900;
const PROCESS_KB: u64 = 8_000;
const REAL_KB: u64 = 40_000;
const FULL_KB: u64 = 90_000;

struct Asked {
    sizes: Vec<u32>,
    phases: Vec<String>,
    seed: u64,
    real: u32,
    full: bool,
    each: u32,
    cut: u64,
    /// Hollow proxies of each worker that start at a time, twice a second, and seconds until all are to know all.
    wave: u32,
    patience: u64,
    /// Seconds after which the run ends whatever it does.
    deadline: u64,
    json: Option<String>,
    /// Without sockets, on a clock of our own.
    clockwork: bool,
}

fn asked(args: &[String]) -> Result<Asked, String> {
    let mut asked = Asked {
        sizes: Vec::new(),
        phases: phases::ALL.map(String::from).to_vec(),
        seed: 1,
        real: 5,
        full: false,
        each: 60,
        cut: 60,
        wave: 4,
        patience: 30,
        deadline: 3600,
        json: None,
        clockwork: false,
    };
    let mut rest = args.iter();
    while let Some(arg) = rest.next() {
        if let Ok(size) = arg.parse() {
            asked.sizes.push(size);
            continue;
        }
        let mut value = || rest.next().ok_or(format!("{arg}: a value is missing"));
        let number = |text: &String| text.parse::<u32>().map_err(|e| format!("{arg}: {e}"));
        match arg.as_str() {
            "--bench" => {} // cargo's own
            "--phases" => asked.phases = value()?.split(',').map(String::from).collect(),
            "--seed" => asked.seed = u64::from(number(value()?)?),
            "--real" => asked.real = number(value()?)?,
            "--full" => asked.full = true,
            "--deadline" => asked.deadline = u64::from(number(value()?)?),
            "--each" => asked.each = number(value()?)?.max(1),
            "--cut" => asked.cut = u64::from(number(value()?)?),
            "--wave" => asked.wave = number(value()?)?.max(1),
            "--patience" => asked.patience = u64::from(number(value()?)?),
            "--clockwork" => asked.clockwork = true,
            "--json" => asked.json = Some(value()?.clone()),
            other => return Err(format!("{other}: not known")),
        }
    }
    if asked.sizes.is_empty() {
        asked.sizes = vec![30, 100, 300, 900, PLAN];
    }
    Ok(asked)
}

/// Whether a run of that size is within what may be taken of the machine.
fn fits(size: u32, asked: &Asked) -> Result<(), String> {
    let workers = size.saturating_sub(asked.real).div_ceil(asked.each);
    let processes = workers + asked.real + 1;
    if processes > MOST_PROCESSES {
        return Err(format!("{processes} processes, over {MOST_PROCESSES}"));
    }
    let hollow = u64::from(size) * HOLLOW_KB;
    let needed = hollow
        + u64::from(workers) * PROCESS_KB
        + u64::from(asked.real) * if asked.full { FULL_KB } else { REAL_KB };
    let available = figures::available_kb();
    if needed > available / 2 {
        return Err(format!(
            "{needed} kB needed, over half of the {available} kB that can be had"
        ));
    }
    Ok(())
}

/// Plays all phases, or those before one that fails; whether all were played.
fn play(size: u32, asked: &Asked, rows: &mut Vec<Row>) -> Result<bool, String> {
    fits(size, asked)?;
    let open = |path| {
        std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
    };
    let mut kept = asked
        .json
        .as_ref()
        .map(open)
        .transpose()
        .map_err(|e| e.to_string())?;
    if asked.clockwork {
        let plan = plan::Plan {
            size,
            port: 1,
            seed: asked.seed,
        };
        for row in clockwork::Clockwork::new(plan).rows(&asked.phases) {
            if let Some(file) = &mut kept {
                writeln!(file, "{}", serde_json::to_string(&row).expect("plain data"))
                    .map_err(|e| e.to_string())?;
            }
            rows.push(row);
        }
        return Ok(true);
    }
    let (real, full) = (asked.real.min(size / 3), asked.full);
    let shape = Shape {
        size,
        seed: asked.seed,
        real,
        full,
        each: asked.each,
        threads: false,
    };
    let begun = Instant::now();
    let mut fleet = Fleet::new(shape);
    eprintln!(
        "{} real ones started: {:.1?}",
        fleet.real.len(),
        begun.elapsed()
    );
    let joined = fleet.join(
        asked.wave,
        Duration::from_millis(500),
        Duration::from_secs(asked.patience),
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
        cut: seconds(asked.cut),
        heal: seconds(15),
        settle: seconds(10),
    };
    let mut play = Play::new(fleet, spans, kept);
    std::thread::sleep(spans.settle);
    let whole = asked.phases.iter().all(|phase| {
        let played = catch_unwind(AssertUnwindSafe(|| play.phase(phase)));
        eprintln!(
            "{phase}: {} at {:.0?}",
            if played.is_ok() { "played" } else { "FAILED" },
            begun.elapsed()
        );
        played.is_ok()
    });
    rows.extend(play.rows());
    Ok(whole)
}

/// Ends this process, and with it the workers, and the real ones, if the run takes longer.
fn guard(deadline: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(deadline);
        eprintln!("scale: over its {deadline:?}");
        for process in real::LIVE.lock().expect("no panic under it").iter() {
            let _ = std::process::Command::new("kill")
                .args(["-KILL", &process.to_string()])
                .status();
        }
        std::process::exit(3);
    });
}

fn read(files: &[String]) -> Result<Vec<Row>, String> {
    let mut rows = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
        for line in text.lines() {
            rows.push(serde_json::from_str(line).map_err(|e| format!("{file}: {e}"))?);
        }
    }
    Ok(rows)
}

fn tables(rows: &[Row]) {
    figures::table(rows);
    println!();
    figures::control(rows);
    println!();
    figures::lines(rows, PLAN);
}

fn run(args: &[String]) -> Result<(), String> {
    if let Some(at) = args.iter().position(|arg| arg == "--table") {
        let files: Vec<String> = args[at + 1..]
            .iter()
            .filter(|a| *a != "--bench")
            .cloned()
            .collect();
        tables(&read(&files)?);
        return Ok(());
    }
    let asked = asked(args)?;
    guard(Duration::from_secs(asked.deadline));
    let (mut rows, mut whole) = (Vec::new(), true);
    for size in &asked.sizes {
        whole &= play(*size, &asked, &mut rows)?;
    }
    tables(&rows);
    if whole {
        Ok(())
    } else {
        Err("a phase failed".into())
    }
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|arg| arg == HIDDEN) {
        return worker::process();
    }
    if let Err(why) = run(&args) {
        eprintln!("scale: {why}");
        std::process::exit(2);
    }
}
