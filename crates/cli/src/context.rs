//! Options and output that all commands share.

use {
    crate::{
        ExitStatus,
        args::{GlobalOptions, OutputFormat},
        client::ApiClient,
        error::CliError,
    },
    serde::Serialize,
    std::{
        fmt::{self, Display},
        io::{self, Read, Write},
        path::Path,
    },
};

/// Global options and the output stream of a command.
pub(crate) struct CommandContext<'a> {
    options: GlobalOptions,
    out: &'a mut dyn Write,
}

impl fmt::Debug for CommandContext<'_> {
    /// Omits the options, because they hold keys.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CommandContext").finish_non_exhaustive()
    }
}

impl<'a> CommandContext<'a> {
    pub(crate) fn new(options: GlobalOptions, out: &'a mut dyn Write) -> Self {
        Self { options, out }
    }

    /// Returns the output stream, for commands with only one output format.
    pub(crate) fn out(&mut self) -> &mut dyn Write {
        self.out
    }

    pub(crate) fn caller_client(&self) -> ApiClient {
        ApiClient::new(
            &self.options.address,
            non_empty_key(self.options.key.as_ref()),
            self.options.timeout_ms,
            "--address or DAMASKRACK_ADDRESS",
        )
    }

    pub(crate) fn operator_client(&self) -> ApiClient {
        ApiClient::new(
            &self.options.operator_address,
            non_empty_key(self.options.operator_key.as_ref())
                .or(non_empty_key(self.options.key.as_ref())),
            self.options.timeout_ms,
            "--operator-address or DAMASKRACK_OPERATOR_ADDRESS",
        )
    }

    /// Prints a value in the chosen format.
    pub(crate) fn print(
        &mut self,
        value: &impl Serialize,
        text: impl FnOnce() -> String,
    ) -> anyhow::Result<()> {
        match self.options.output {
            OutputFormat::Json => self.print_text(serde_json::to_string_pretty(value)? + "\n"),
            OutputFormat::Table => self.print_text(text()),
        }
    }

    pub(crate) fn print_text(&mut self, text: impl Display) -> anyhow::Result<()> {
        write!(self.out, "{text}")?;
        self.out.flush()?;
        Ok(())
    }
}

/// Treats an empty key, such as that of an empty variable, as no key.
fn non_empty_key(key: Option<&String>) -> Option<&str> {
    key.map(String::as_str).filter(|key| !key.is_empty())
}

/// Reads a file named on the command line; `-` reads standard input.
pub(crate) fn read_file(path: &Path) -> anyhow::Result<String> {
    let result = if path == Path::new("-") {
        let mut text = String::new();
        io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(path)
    };
    result.map_err(|error| {
        CliError::new(
            ExitStatus::Usage,
            format!("cannot read {}: {error}", path.display()),
            "check the path, and that the file is UTF-8 text",
        )
        .into()
    })
}
