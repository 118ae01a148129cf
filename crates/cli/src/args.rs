//! Command-line arguments; doc comments on them are the text of `--help`.

use {
    crate::byte_size::ByteSize,
    clap::{Args, Parser, Subcommand, ValueEnum},
    clap_complete::Shell,
    damaskrack_model::{JobId, KeyName, PriorityClass, QueueName, TeamName, WorkKind},
    std::{net::SocketAddr, path::PathBuf},
};

const EXIT_CODE_HELP: &str = "\
Exit codes:
  0  it worked
  1  it was refused and had no effect (outcome not_run)
  2  the command line or a file named on it is wrong
  3  the work ran and failed (outcome failed)
  4  the work may have run or the change may have been made (outcome unknown)
  5  no daemon could be reached, so nothing was sent";

/// Hands work to a damaskrack cell and operates it.
#[derive(Debug, Parser)]
#[command(name = "damaskrack", version, after_help = EXIT_CODE_HELP)]
pub(crate) struct CliArgs {
    #[command(flatten)]
    pub(crate) options: GlobalOptions,
    #[command(subcommand)]
    pub(crate) command: CliCommand,
}

/// Options that every command takes.
#[derive(Debug, Args)]
pub(crate) struct GlobalOptions {
    /// Form of the output.
    #[arg(long, global = true, value_enum, default_value = "table")]
    pub(crate) output: OutputFormat,
    /// Caller addresses of daemons, separated by commas; the next is used if one is unreachable.
    #[arg(
        long,
        global = true,
        env = "DAMASKRACK_ADDRESS",
        value_delimiter = ',',
        default_value = "127.0.0.1:7101"
    )]
    pub(crate) address: Vec<SocketAddr>,
    /// Operator addresses of daemons, separated by commas.
    #[arg(
        long,
        global = true,
        env = "DAMASKRACK_OPERATOR_ADDRESS",
        value_delimiter = ',',
        default_value = "127.0.0.1:7201"
    )]
    pub(crate) operator_address: Vec<SocketAddr>,
    /// Key to show, NAME.SECRET. Prefer the variable: other users can see a command line.
    #[arg(long, global = true, env = "DAMASKRACK_KEY", hide_env_values = true)]
    pub(crate) key: Option<String>,
    /// Key to show at the operator address; if absent, the other key is shown.
    #[arg(long, global = true, env = "DAMASKRACK_OPERATOR_KEY", hide_env_values = true)]
    pub(crate) operator_key: Option<String>,
    /// Longest wait for one answer, in milliseconds.
    #[arg(long, global = true, default_value_t = 60_000)]
    pub(crate) timeout_ms: u64,
}

/// Form of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum OutputFormat {
    /// For people.
    Table,
    /// For programs.
    Json,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub(crate) enum CliCommand {
    /// Runs a whole cell in one process, with a stand-in platform.
    Local(LocalArgs),
    /// Checks, hands in and shows manifests.
    #[command(subcommand)]
    Manifest(ManifestCommand),
    /// Makes keys.
    #[command(subcommand)]
    Key(KeyCommand),
    /// Hands in a request or a job.
    Submit(SubmitArgs),
    /// Shows a job.
    Job(JobArgs),
    /// Cancels a job.
    Cancel(CancelArgs),
    /// Tells from daemons' logs what happened to a job.
    Explain(ExplainArgs),
    /// Dumps the state of a daemon.
    State,
    /// Prints a completion script for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// What to do with a manifest.
#[derive(Debug, Subcommand)]
pub(crate) enum ManifestCommand {
    /// Checks a manifest without handing it in; names each fault by its JSON path.
    Check {
        /// The manifest; `-` reads standard input.
        file: PathBuf,
    },
    /// Hands a manifest in and lists what it changes.
    Apply {
        /// The manifest; `-` reads standard input.
        file: PathBuf,
        /// Version that the change starts from; if absent, the version in force now.
        #[arg(long)]
        base: Option<u64>,
        /// Lists the changes and hands nothing in.
        #[arg(long)]
        dry_run: bool,
    },
    /// Prints the manifest in force.
    Show {
        /// Lists what this manifest would change instead.
        #[arg(long, value_name = "FILE")]
        diff: Option<PathBuf>,
    },
    /// Shows the version in force and whether each daemon is ready.
    Status,
}

/// What to do with a key.
#[derive(Debug, Subcommand)]
pub(crate) enum KeyCommand {
    /// Makes a key: prints it and its entry. The secret is shown only here.
    New(KeyNewArgs),
}

/// A key to make.
#[derive(Debug, Args)]
pub(crate) struct KeyNewArgs {
    /// Public part of the key.
    pub(crate) name: KeyName,
    /// Team that the key stands for; its entry goes into the manifest.
    #[arg(long, required_unless_present = "operator", conflicts_with = "operator")]
    pub(crate) team: Option<TeamName>,
    /// Makes a key for operators; its entry goes into the daemons' settings.
    #[arg(long, conflicts_with_all = ["not_before_unix_ms", "not_after_unix_ms"])]
    pub(crate) operator: bool,
    /// First moment of validity, in Unix milliseconds.
    #[arg(long)]
    pub(crate) not_before_unix_ms: Option<u64>,
    /// First moment after validity, in Unix milliseconds.
    #[arg(long)]
    pub(crate) not_after_unix_ms: Option<u64>,
}

/// Work to hand in.
#[derive(Debug, Args)]
pub(crate) struct SubmitArgs {
    /// Queue that the work is for.
    pub(crate) queue: QueueName,
    /// How the tasks relate to each other; a request is answered when it ends.
    #[arg(long, value_enum, default_value = "request")]
    pub(crate) kind: KindArg,
    /// Number of tasks.
    #[arg(long, default_value_t = 1)]
    pub(crate) tasks: u32,
    /// Processor time of each task, in thousandths of a core.
    #[arg(long, default_value_t = 100)]
    pub(crate) millicores: u64,
    /// Memory of each task, such as 512MiB.
    #[arg(long, default_value = "64MiB")]
    pub(crate) memory: ByteSize,
    /// Accelerators of each task.
    #[arg(long, default_value_t = 0)]
    pub(crate) accelerators: u64,
    /// A task may run again after it may have run once.
    #[arg(long)]
    pub(crate) idempotent: bool,
    /// Order within the team.
    #[arg(long, value_enum, default_value = "normal")]
    pub(crate) priority: PriorityArg,
    /// Run time expected of each task, in milliseconds; 0 if unknown.
    #[arg(long, default_value_t = 0)]
    pub(crate) expected_ms: u64,
    /// Time after which work that has not started is refused, in milliseconds; 0 for none.
    #[arg(long, default_value_t = 0)]
    pub(crate) deadline_ms: u64,
    /// What the worker is to run.
    #[arg(long, default_value = "", conflicts_with = "payload_file")]
    pub(crate) payload: String,
    /// File with what the worker is to run; `-` reads standard input.
    #[arg(long)]
    pub(crate) payload_file: Option<PathBuf>,
    /// Your own name for the work: handing it in again gives the first answer.
    #[arg(long)]
    pub(crate) idempotency_key: Option<String>,
    /// Waits until the job has ended (a service: until all its tasks run) and shows progress.
    #[arg(long)]
    pub(crate) wait: bool,
}

/// A job to show.
#[derive(Debug, Args)]
pub(crate) struct JobArgs {
    /// The job.
    pub(crate) job: JobId,
    /// Waits until the job has ended and shows progress.
    #[arg(long)]
    pub(crate) wait: bool,
}

/// A job to explain.
#[derive(Debug, Args)]
pub(crate) struct ExplainArgs {
    /// The job, as its caller named it.
    pub(crate) job: String,
    /// Logs of daemons in any order, the more the better; `-` reads standard input.
    #[arg(required = true)]
    pub(crate) logs: Vec<PathBuf>,
}

/// A job to cancel.
#[derive(Debug, Args)]
pub(crate) struct CancelArgs {
    /// The job.
    pub(crate) job: JobId,
}

/// The local cell.
#[derive(Debug, Args)]
pub(crate) struct LocalArgs {
    /// Runs one request and one gang job, prints their answers as JSON and ends.
    #[arg(long)]
    pub(crate) once: bool,
}

/// Kind of work on the command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum KindArg {
    /// One short task whose answer you wait for.
    Request,
    /// Tasks that run until they are cancelled.
    Service,
    /// Tasks that run once each, in any order.
    Batch,
    /// Tasks that must all run at the same time.
    Gang,
}

impl From<KindArg> for WorkKind {
    fn from(kind: KindArg) -> Self {
        match kind {
            KindArg::Request => Self::Request,
            KindArg::Service => Self::Service,
            KindArg::Batch => Self::Batch,
            KindArg::Gang => Self::Gang,
        }
    }
}

/// Priority on the command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum PriorityArg {
    /// Starts last and is shed first.
    Low,
    /// The default.
    Normal,
    /// Starts at once within the team's entitlement.
    Urgent,
}

impl From<PriorityArg> for PriorityClass {
    fn from(priority: PriorityArg) -> Self {
        match priority {
            PriorityArg::Low => Self::Low,
            PriorityArg::Normal => Self::Normal,
            PriorityArg::Urgent => Self::Urgent,
        }
    }
}
