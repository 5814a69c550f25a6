//! The command line: what to do, where the configuration is, and how to log.

use crate::net::config::{Override, Source};
use clap::{Args, Parser, Subcommand, ValueEnum};
use std::path::PathBuf;

/// A proxy for fleets of HTTP servers. Without a command it runs, with the configuration that NODE_CONFIG names.
#[derive(Debug, Parser)]
#[command(name = "meadowproxy", version)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Option<Command>,
    /// Form of the log on standard error.
    #[arg(long, global = true, env = "NODE_LOG_FORMAT", value_enum, default_value_t = LogFormat::Text)]
    pub log_format: LogFormat,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run the proxy.
    Run(RunArgs),
    /// Read a configuration and print every error in it; exit 2 if there is one.
    Check(FileArgs),
    /// Print the configuration in force as TOML, with every default written out.
    ShowConfig(FileArgs),
}

#[derive(Debug, Default, Args)]
pub struct RunArgs {
    /// The configuration: TOML where the name ends in .toml, else JSON.
    #[arg(long, env = "NODE_CONFIG", value_name = "FILE")]
    config: Option<PathBuf>,
    #[command(flatten)]
    sets: OverrideArgs,
}

#[derive(Debug, Args)]
pub struct FileArgs {
    /// The configuration: TOML where the name ends in .toml, else JSON.
    file: PathBuf,
    #[command(flatten)]
    sets: OverrideArgs,
}

#[derive(Debug, Default, Args)]
struct OverrideArgs {
    /// Put a value at a dotted path of the configuration, as in settings.locality.leave_share=0.5; may be repeated.
    #[arg(long = "set", value_name = "KEY=VALUE")]
    set: Vec<Override>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// Lines for people.
    Text,
    /// One JSON object a line.
    Json,
}

impl RunArgs {
    /// Without any command: as the platform starts the program.
    pub fn from_environment() -> RunArgs {
        let config = std::env::var_os("NODE_CONFIG")
            .filter(|path| !path.is_empty())
            .map(PathBuf::from);
        RunArgs {
            config,
            sets: OverrideArgs::default(),
        }
    }

    pub fn into_source(self) -> Source {
        Source {
            file: self.config,
            overrides: self.sets.set,
        }
    }
}

impl FileArgs {
    pub fn into_source(self) -> Source {
        Source {
            file: Some(self.file),
            overrides: self.sets.set,
        }
    }
}
