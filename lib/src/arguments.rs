//! Handling of `--help`, `--version` and unknown arguments, shared by all programs.

use pico_args::Arguments;
use snafu::Snafu;

/// Exit code of a program whose arguments were refused.
pub const USAGE_EXIT_CODE: u8 = 2;

/// Name, version and help text of one program.
#[derive(Debug, Clone, Copy)]
pub struct ProgramText {
    /// Name of the program.
    pub name: &'static str,
    /// Version of the program.
    pub version: &'static str,
    /// Output of `--help`; the flags in it are those suggested for unknown arguments.
    pub help: &'static str,
}

/// Error for refused arguments.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum ArgumentsError {
    /// The argument is not expected.
    #[snafu(display("unknown argument {argument:?}{}", hint_text(hint.as_deref())))]
    UnknownArgument {
        /// The argument as given.
        argument: String,
        /// The most similar known flag.
        hint: Option<String>,
    },
    /// No command has that name.
    #[snafu(display("unknown command {command:?}{}", hint_text(hint.as_deref())))]
    UnknownCommand {
        /// The command as given.
        command: String,
        /// The most similar known command.
        hint: Option<String>,
    },
    /// A command is required and none was given.
    #[snafu(display("no command was given, expected one of {known}"))]
    NoCommand {
        /// The known commands.
        known: String,
    },
    /// A value is missing or malformed.
    #[snafu(display("{source}"))]
    Invalid {
        /// Error of the parser.
        source: pico_args::Error,
    },
}

impl ProgramText {
    /// Returns the text to print if help or the version is requested.
    pub fn help_or_version(&self, arguments: &mut Arguments) -> Option<String> {
        if arguments.contains(["-h", "--help"]) {
            Some(self.help.to_owned())
        } else if arguments.contains(["-V", "--version"]) {
            Some(format!("{} {}\n", self.name, self.version))
        } else {
            None
        }
    }

    /// Checks that all arguments have been consumed.
    ///
    /// # Errors
    ///
    /// Fails with the first remaining argument and the most similar known flag.
    pub fn refuse_remaining(&self, arguments: Arguments) -> Result<(), ArgumentsError> {
        let Some(remaining) = arguments.finish().into_iter().next() else {
            return Ok(());
        };
        Err(self.unknown_argument(&remaining.to_string_lossy()))
    }

    /// Returns the error for an unknown `argument`, with the most similar known flag.
    #[must_use]
    pub fn unknown_argument(&self, argument: &str) -> ArgumentsError {
        let hint = nearest(flag_name(argument), &self.flags()).map(str::to_owned);
        UnknownArgumentSnafu { argument, hint }.build()
    }

    /// Returns the flags in the help text.
    fn flags(&self) -> Vec<&'static str> {
        self.help
            .split(|character: char| !(character.is_ascii_alphanumeric() || character == '-'))
            .filter(|word| word.starts_with("--") && word.len() > "--".len())
            .collect()
    }
}

/// Returns the error for an unknown `command`, with the most similar one of `known`.
#[must_use]
pub fn unknown_command(command: &str, known: &[&str]) -> ArgumentsError {
    let hint = nearest(command, known).map(str::to_owned);
    UnknownCommandSnafu { command, hint }.build()
}

/// Returns the candidate with the smallest edit distance from `name`, if that is at most a third
/// of the length of `name`.
#[must_use]
pub fn nearest<'a>(name: &str, candidates: &[&'a str]) -> Option<&'a str> {
    let max_edits = name.chars().count().div_ceil(3);
    candidates
        .iter()
        .map(|candidate| (edit_distance(name, candidate), *candidate))
        .filter(|(edits, _)| *edits <= max_edits)
        .min_by_key(|(edits, _)| *edits)
        .map(|(_, candidate)| candidate)
}

/// Returns the Levenshtein distance: the fewest insertions, deletions and replacements of
/// characters that turn `from` into `to`.
fn edit_distance(from: &str, to: &str) -> usize {
    let to: Vec<char> = to.chars().collect();
    let mut row: Vec<usize> = (0..=to.len()).collect();
    for (from_index, from_char) in from.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = from_index + 1;
        for (to_index, to_char) in to.iter().enumerate() {
            let replacement_cost = diagonal + usize::from(from_char != *to_char);
            diagonal = row[to_index + 1];
            row[to_index + 1] = replacement_cost.min(diagonal + 1).min(row[to_index] + 1);
        }
    }
    row[to.len()]
}

fn flag_name(argument: &str) -> &str {
    argument.split('=').next().unwrap_or(argument)
}

fn hint_text(hint: Option<&str>) -> String {
    hint.map(|hint| format!(", did you mean {hint}?"))
        .unwrap_or_default()
}
