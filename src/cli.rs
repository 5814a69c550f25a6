//! The command line: the command, the configuration file with its overrides, and the log format. The help texts are the
//! doc comments of [`Cli`] and the types below it.

use crate::net::config::{Override, Source};
use clap::{Args, Parser, Subcommand, ValueEnum};
use std::path::PathBuf;

/// A load-balancing proxy for fleets of HTTP servers. Without a command, the proxy runs with the configuration file
/// that NODE_CONFIG names.
#[derive(Debug, Parser)]
#[command(name = "meadowproxy", version)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Option<Command>,
    /// Format of the log on standard error.
    #[arg(long, global = true, env = "NODE_LOG_FORMAT", value_enum, default_value_t = LogFormat::Text)]
    pub log_format: LogFormat,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run the proxy.
    Run(RunArgs),
    /// Check a configuration and print every error in it; the exit status is 2 if there is one.
    Check(FileArgs),
    /// Print the resulting configuration as TOML, with all overrides and defaults.
    ShowConfig(FileArgs),
}

#[derive(Debug, Default, Args)]
pub struct RunArgs {
    /// Configuration file: TOML if its name ends in .toml, otherwise JSON.
    #[arg(long, env = "NODE_CONFIG", value_name = "FILE")]
    config: Option<PathBuf>,
    #[command(flatten)]
    sets: OverrideArgs,
}

#[derive(Debug, Args)]
pub struct FileArgs {
    /// Configuration file: TOML if its name ends in .toml, otherwise JSON.
    file: PathBuf,
    #[command(flatten)]
    sets: OverrideArgs,
}

#[derive(Debug, Default, Args)]
struct OverrideArgs {
    /// Override the value at a dotted path of the configuration, for example settings.locality.leave_share=0.5. The
    /// value is JSON, or else text. May be repeated.
    #[arg(long = "set", value_name = "KEY=VALUE")]
    set: Vec<Override>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// Human-readable lines.
    Text,
    /// One JSON object per line.
    Json,
}

impl RunArgs {
    /// Returns the arguments of a start without a command, which is how the platform starts the program. An empty
    /// NODE_CONFIG counts as not set.
    pub fn from_environment() -> RunArgs {
        let config = std::env::var_os("NODE_CONFIG")
            .filter(|path| !path.is_empty())
            .map(PathBuf::from);
        RunArgs {
            config,
            sets: OverrideArgs::default(),
        }
    }

    /// Returns the configuration file, if one is named, with the overrides.
    pub fn into_source(self) -> Source {
        Source {
            file: self.config,
            overrides: self.sets.set,
        }
    }
}

impl FileArgs {
    /// Returns the configuration file with the overrides.
    pub fn into_source(self) -> Source {
        Source {
            file: Some(self.file),
            overrides: self.sets.set,
        }
    }
}
