//! Output of reports and the header that names their origin.

use {
    anyhow::{Context, Result},
    clap::Args,
    serde::Serialize,
    std::{fs, path::PathBuf},
};

/// Where reports are written and what they are marked with.
#[derive(Debug, Clone, Args)]
pub struct ReportOutput {
    /// Directory of the reports.
    #[arg(long, default_value = "docs/measures")]
    pub out: PathBuf,
    /// Commit that is measured, as it is to be named in the report.
    #[arg(long, default_value = "unknown")]
    pub commit: String,
}

/// Header of a report: the run and the machine that it comes from.
#[derive(Debug, Clone, Serialize)]
pub struct ReportHeader {
    /// Command line of the run.
    pub command: String,
    /// Seed of the run.
    pub seed: u64,
    /// Commit that was measured.
    pub commit: String,
    /// Logical processors of the machine.
    pub processors: usize,
    /// Load averages at the start of the run, since other programs may share the machine.
    pub load_at_start: String,
}

#[derive(Debug, Serialize)]
struct ReportFile<'a, T> {
    head: &'a ReportHeader,
    result: &'a T,
}

impl ReportHeader {
    /// Returns the header for a run of this process.
    #[must_use]
    pub fn new(seed: u64, place: &ReportOutput) -> Self {
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

impl ReportOutput {
    /// Writes `NAME.json` and `NAME.txt` and prints the text.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file that cannot be written.
    pub(crate) fn write(
        &self,
        name: &str,
        head: &ReportHeader,
        result: &impl Serialize,
        table: &str,
    ) -> Result<()> {
        fs::create_dir_all(&self.out).context("cannot create the report directory")?;
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
