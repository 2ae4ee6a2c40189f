//! Command-line arguments.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Args, Parser, Subcommand};
use samphirespread_bench::load::LoadArguments;
use samphirespread_config::ObjectName;

use crate::check_platform::CheckPlatformArguments;

/// Operates a samphirespread fleet.
#[derive(Debug, Parser)]
#[command(name = "samphirespread", version, after_help = EXIT_CODES)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    pub(crate) command: Command,
}

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  documents have faults, or the change was refused; nothing was changed
  2  wrong arguments; nothing was changed
  3  the platform or an instance can't be reached; nothing was changed
  4  an answer was lost: apply again with the same --submission
  5  accepted, but not in force on every instance yet";

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Runs a whole fleet with stand-ins in this process, on loopback, until Ctrl-C.
    Dev {
        /// The port for callers; 0 lets the kernel choose.
        #[arg(long, default_value_t = 8080)]
        port: u16,
    },
    /// Sends load to a router and reports what came of it.
    Bench(LoadArguments),
    /// Checks documents as a whole configuration, without the platform.
    Check(CheckArguments),
    /// Checks a configuration of the users' platform before it is sent to the store.
    CheckPlatform(CheckPlatformArguments),
    /// Submits documents and waits until they are in force.
    Apply(ApplyArguments),
    /// Tells which generation each instance has in force.
    Status(StatusArguments),
    /// Prints the configuration in force, or the state of one instance.
    Dump(DumpArguments),
    /// Tells how far gateways have moved services to new versions, and why they stand there.
    Rollouts(RolloutsArguments),
    /// Keys of callers.
    #[command(subcommand)]
    Key(KeyCommand),
    /// Tells why one request ended as it did, from the logs of the processes.
    Explain(ExplainArguments),
    /// Groups the requests in logs by how they ended and why.
    TopCauses {
        /// Files with logs; none or - is standard input.
        files: Vec<PathBuf>,
    },
    /// Prints an example of a settings file with every key.
    Settings {
        /// The daemon that reads the file.
        daemon: Daemon,
    },
}

#[derive(Clone, Copy, Debug, clap::ValueEnum)]
pub(crate) enum Daemon {
    /// samphirespread-router.
    Router,
    /// samphirespread-agent.
    Agent,
    /// samphirespread-gateway.
    Gateway,
    /// samphirespread-sidecar.
    Sidecar,
}

#[derive(Args, Debug)]
pub(crate) struct ExplainArguments {
    /// The id of the request, as its caller sent it.
    pub(crate) request: String,
    /// Files with logs; none or - is standard input.
    pub(crate) files: Vec<PathBuf>,
    /// Also print lines of no request, from this long before to this long after the request.
    #[arg(long, default_value_t = 0)]
    pub(crate) window_ms: u64,
}

#[derive(Args, Debug)]
pub(crate) struct CheckArguments {
    /// Files with documents, or directories with such files that end in .json.
    #[arg(required = true)]
    pub(crate) paths: Vec<PathBuf>,
}

#[derive(Args, Debug)]
pub(crate) struct PlatformArguments {
    /// The platform's API, IP:port.
    #[arg(long)]
    pub(crate) platform: SocketAddr,
    /// A call to the platform or an instance fails after this.
    #[arg(long, default_value_t = 2_000, value_parser = clap::value_parser!(u64).range(1..))]
    pub(crate) call_timeout_ms: u64,
}

#[derive(Args, Debug)]
pub(crate) struct ApplyArguments {
    /// Files with documents, or directories with such files that end in .json.
    pub(crate) paths: Vec<PathBuf>,
    #[command(flatten)]
    pub(crate) platform: PlatformArguments,
    #[command(flatten)]
    pub(crate) fleet: FleetArguments,
    /// Remove this object, for example key/desk-1. May be repeated.
    #[arg(long, value_name = "KIND/NAME", value_parser = object_name)]
    pub(crate) remove: Vec<ObjectName>,
    /// Remove every object that the files don't name.
    #[arg(long, conflicts_with = "remove")]
    pub(crate) exact: bool,
    /// Print what would change, and change nothing.
    #[arg(long)]
    pub(crate) dry_run: bool,
    /// Find out about an earlier submission, or finish it.
    #[arg(long, value_name = "ID")]
    pub(crate) submission: Option<String>,
    /// Give up after this, while the platform is down or other operators are faster.
    #[arg(long, default_value_t = 30_000)]
    pub(crate) timeout_ms: u64,
    /// Wait this long for the instances to have it in force; 0 doesn't ask them.
    #[arg(long, default_value_t = 10_000)]
    pub(crate) wait_ms: u64,
}

#[derive(Args, Debug)]
pub(crate) struct FleetArguments {
    /// The admin port of instances for which the live list names none.
    #[arg(long)]
    pub(crate) admin_port: Option<u16>,
}

#[derive(Args, Debug)]
pub(crate) struct StatusArguments {
    #[command(flatten)]
    pub(crate) platform: PlatformArguments,
    #[command(flatten)]
    pub(crate) fleet: FleetArguments,
}

#[derive(Args, Debug)]
#[group(required = true, multiple = false, id = "source")]
pub(crate) struct DumpSource {
    /// Print the configuration in the platform at IP:port.
    #[arg(long)]
    pub(crate) platform: Option<SocketAddr>,
    /// Print the state of the instance with this admin port, IP:port.
    #[arg(long)]
    pub(crate) admin: Option<SocketAddr>,
}

#[derive(Args, Debug)]
pub(crate) struct DumpArguments {
    #[command(flatten)]
    pub(crate) source: DumpSource,
    /// A call fails after this.
    #[arg(long, default_value_t = 2_000, value_parser = clap::value_parser!(u64).range(1..))]
    pub(crate) call_timeout_ms: u64,
}

#[derive(Args, Debug)]
pub(crate) struct RolloutsArguments {
    /// The admin port of a gateway, IP:port. May be repeated.
    #[arg(long, required = true)]
    pub(crate) admin: Vec<SocketAddr>,
    /// A call fails after this.
    #[arg(long, default_value_t = 2_000, value_parser = clap::value_parser!(u64).range(1..))]
    pub(crate) call_timeout_ms: u64,
}

#[derive(Debug, Subcommand)]
pub(crate) enum KeyCommand {
    /// Makes a key: its text once on standard error, its document on standard output.
    New {
        /// A name for the key.
        #[arg(long)]
        id: String,
        /// The team that the key acts for.
        #[arg(long)]
        team: String,
    },
}

fn object_name(text: &str) -> Result<ObjectName, String> {
    ObjectName::parse(text)
        .ok_or_else(|| "expected team/NAME, key/ID, route/NAME or set/NAME".to_owned())
}
