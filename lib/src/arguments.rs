//! Help, version and unknown arguments, the same for every program.

use pico_args::Arguments;
use snafu::Snafu;

/// Exit code of a program whose arguments were refused.
pub const USAGE_EXIT_CODE: u8 = 2;

/// The texts of one program.
#[derive(Debug, Clone, Copy)]
pub struct ProgramText {
    /// Name of the program.
    pub name: &'static str,
    /// Version of the program.
    pub version: &'static str,
    /// What `--help` prints; every flag that it names is known.
    pub help: &'static str,
}

/// Why arguments were refused.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum ArgumentsError {
    /// No flag or value of that kind is expected.
    #[snafu(display("unknown argument {argument:?}{}", hint_text(hint.as_deref())))]
    UnknownArgument {
        /// The argument as it was given.
        argument: String,
        /// The known flag that is nearest to it.
        hint: Option<String>,
    },
    /// No command has that name.
    #[snafu(display("unknown command {command:?}{}", hint_text(hint.as_deref())))]
    UnknownCommand {
        /// The command as it was given.
        command: String,
        /// The known command that is nearest to it.
        hint: Option<String>,
    },
    /// A command is needed and none was given.
    #[snafu(display("no command was given, expected one of {known}"))]
    NoCommand {
        /// The known commands.
        known: String,
    },
    /// A value is missing or does not have the form that its flag needs.
    #[snafu(display("{source}"))]
    Invalid {
        /// What the parser reports.
        source: pico_args::Error,
    },
}

impl ProgramText {
    /// Returns what to print when help or the version is asked for.
    pub fn help_or_version(&self, arguments: &mut Arguments) -> Option<String> {
        if arguments.contains(["-h", "--help"]) {
            Some(self.help.to_owned())
        } else if arguments.contains(["-V", "--version"]) {
            Some(format!("{} {}\n", self.name, self.version))
        } else {
            None
        }
    }

    /// Refuses what no flag has consumed, with a hint at the nearest known flag.
    ///
    /// # Errors
    ///
    /// Returns the first argument that is left over.
    pub fn refuse_remaining(&self, arguments: Arguments) -> Result<(), ArgumentsError> {
        let Some(left_over) = arguments.finish().into_iter().next() else {
            return Ok(());
        };
        Err(self.unknown_argument(&left_over.to_string_lossy()))
    }

    /// Returns the refusal of `argument`, with a hint at the nearest known flag.
    #[must_use]
    pub fn unknown_argument(&self, argument: &str) -> ArgumentsError {
        let hint = nearest(flag_name(argument), &self.flags()).map(str::to_owned);
        UnknownArgumentSnafu { argument, hint }.build()
    }

    /// Returns the flags that the help names.
    fn flags(&self) -> Vec<&'static str> {
        self.help
            .split(|character: char| !(character.is_ascii_alphanumeric() || character == '-'))
            .filter(|word| word.starts_with("--") && word.len() > "--".len())
            .collect()
    }
}

/// Refuses a command of that name, with a hint at the nearest of `known`.
#[must_use]
pub fn unknown_command(command: &str, known: &[&str]) -> ArgumentsError {
    let hint = nearest(command, known).map(str::to_owned);
    UnknownCommandSnafu { command, hint }.build()
}

/// Returns the candidate that is fewest edits away from `name`, if it is near at all.
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

/// Counts the insertions, deletions and replacements that turn `from` into `to`.
fn edit_distance(from: &str, to: &str) -> usize {
    let to: Vec<char> = to.chars().collect();
    let mut row: Vec<usize> = (0..=to.len()).collect();
    for (line, from_char) in from.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = line + 1;
        for (column, to_char) in to.iter().enumerate() {
            let replaced = diagonal + usize::from(from_char != *to_char);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(diagonal + 1).min(row[column] + 1);
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
