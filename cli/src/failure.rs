//! Failures of commands: a message, a hint, and an exit code.

use std::error::Error;
use std::fmt::Write;
use std::process::ExitCode;

use stackcourse_daemon::operator::ApplyError;
use stackcourse_daemon::settings::SettingsError;
use stackcourse_lib::findings::Finding;

/// The exit code of any other failure.
pub const EXIT_FAILURE: u8 = 1;
/// The exit code if a file has findings.
pub const EXIT_FINDINGS: u8 = 3;
/// The exit code if another version was applied first.
pub const EXIT_CONFLICT: u8 = 4;
/// The exit code if the store or a node does not respond; nothing was changed.
pub const EXIT_UNREACHABLE: u8 = 5;
/// The exit code if it is unknown whether a change was applied.
pub const EXIT_UNCONFIRMED: u8 = 6;
/// The exit code if a node does not have the newest configuration in force.
pub const EXIT_BEHIND: u8 = 7;

/// The list of exit codes in the output of `--help`.
pub const EXIT_CODES: &str = "Exit codes:
  0  done
  1  any other failure
  2  invalid command line
  3  a file has findings, all of them on standard error
  4  another version was applied first and is in force
  5  the store or a node does not respond; nothing was changed
  6  it is unknown whether the change was applied; run the command again
  7  a node is behind the newest configuration";

/// The failure of a command.
#[derive(Debug)]
pub struct Failure {
    message: String,
    hint: String,
    code: u8,
}

impl Failure {
    /// Creates a failure with a message, a hint, which may be empty, and an exit code.
    pub fn new(message: impl Into<String>, hint: impl Into<String>, code: u8) -> Failure {
        Failure {
            message: message.into(),
            hint: hint.into(),
            code,
        }
    }

    /// Creates a failure that lists findings.
    pub fn findings(list: &[Finding]) -> Failure {
        let lines: Vec<String> = list.iter().map(ToString::to_string).collect();
        let hint = "each line names the file and the JSON pointer of the place";
        Failure::new(lines.join("\n"), hint, EXIT_FINDINGS)
    }

    /// Creates a failure from an error and its sources.
    pub fn from_error(error: &dyn Error, hint: &str, code: u8) -> Failure {
        Failure::new(error_chain(error), hint, code)
    }

    /// Prints the failure to standard error and returns its exit code.
    pub fn report(&self) -> ExitCode {
        eprintln!("error: {}", self.message);
        if !self.hint.is_empty() {
            eprintln!("hint: {}", self.hint);
        }
        ExitCode::from(self.code)
    }
}

/// Returns an error and its sources in one line.
fn error_chain(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(inner) = source {
        let _ = write!(text, ": {inner}");
        source = inner.source();
    }
    text
}

impl From<SettingsError> for Failure {
    fn from(error: SettingsError) -> Failure {
        match &error {
            SettingsError::Findings(list) => Failure::findings(list),
            SettingsError::Unreadable { .. } => {
                let hint = "docs/SETTINGS.md lists what a settings file holds";
                Failure::from_error(&error, hint, EXIT_FAILURE)
            }
        }
    }
}

impl From<ApplyError> for Failure {
    fn from(error: ApplyError) -> Failure {
        match &error {
            ApplyError::Findings(list) => Failure::findings(list),
            ApplyError::TooLarge { .. } => {
                let hint = "remove services that are no longer used";
                Failure::from_error(&error, hint, EXIT_FINDINGS)
            }
            ApplyError::Conflict { .. } => {
                let hint = "see `stackcourse audit`, update the file and apply it again";
                Failure::from_error(&error, hint, EXIT_CONFLICT)
            }
            ApplyError::Unconfirmed { .. } => {
                let hint = "run the same command again once the store responds: it changes nothing \
                            if the version is already in force";
                Failure::from_error(&error, hint, EXIT_UNCONFIRMED)
            }
            ApplyError::Store(_) => {
                let hint = "check the store's address and that the store responds";
                Failure::from_error(&error, hint, EXIT_UNREACHABLE)
            }
            ApplyError::Version(_) => {
                Failure::from_error(&error, "see `stackcourse audit`", EXIT_FAILURE)
            }
        }
    }
}
