//! Where a report goes and what it says about its own origin.

use {
    anyhow::{Context, Result},
    clap::Args,
    serde::Serialize,
    std::{fs, path::PathBuf},
};

/// Where reports are written and what they are marked with.
#[derive(Debug, Clone, Args)]
pub struct ReportPlace {
    /// Directory of the reports.
    #[arg(long, default_value = "docs/measures")]
    pub out: PathBuf,
    /// Commit that is measured, as it is to be named in the report.
    #[arg(long, default_value = "unknown")]
    pub commit: String,
}

/// Origin of a report.
#[derive(Debug, Clone, Serialize)]
pub struct ReportHead {
    /// Command line.
    pub command: String,
    /// Seed.
    pub seed: u64,
    /// Commit.
    pub commit: String,
    /// Logical processors of the machine.
    pub processors: usize,
    /// Load average when the run began: others share the machine.
    pub load_at_start: String,
}

#[derive(Debug, Serialize)]
struct ReportFile<'a, T> {
    head: &'a ReportHead,
    result: &'a T,
}

impl ReportHead {
    /// Describes this process.
    #[must_use]
    pub fn new(seed: u64, place: &ReportPlace) -> Self {
        let words: Vec<String> = std::env::args().skip(1).collect();
        let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
        Self {
            command: format!("damaskrack-bench {}", words.join(" ")),
            seed,
            commit: place.commit.clone(),
            processors: std::thread::available_parallelism().map_or(0, usize::from),
            load_at_start: load.split_whitespace().take(3).collect::<Vec<_>>().join(" "),
        }
    }
}

impl ReportPlace {
    /// Writes `NAME.json` and `NAME.txt`, and prints the latter.
    ///
    /// # Errors
    ///
    /// Returns which file could not be written.
    pub(crate) fn write(
        &self,
        name: &str,
        head: &ReportHead,
        result: &impl Serialize,
        table: &str,
    ) -> Result<()> {
        fs::create_dir_all(&self.out).context("cannot make the directory of the reports")?;
        let json = serde_json::to_string_pretty(&ReportFile { head, result })?;
        self.write_file(&format!("{name}.json"), &json)?;
        let text = format!(
            "{}\nseed {}, commit {}, load {}\n\n{table}",
            head.command, head.seed, head.commit, head.load_at_start
        );
        println!("{text}");
        self.write_file(&format!("{name}.txt"), &text)
    }

    fn write_file(&self, name: &str, text: &str) -> Result<()> {
        let path = self.out.join(name);
        fs::write(&path, text).with_context(|| format!("cannot write {}", path.display()))
    }
}
