//! Draws the comparison runs as plots.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

use pico_args::Arguments;
use pomeloramp_lib::ArgumentsError;
use pomeloramp_lib::ProgramText;
use pomeloramp_lib::USAGE_EXIT_CODE;
use pomeloramp_reports::ReportDirectory;
use pomeloramp_reports::ReportError;
use pomeloramp_reports::ReportSettings;
use pomeloramp_reports::SECTIONS;
use snafu::OptionExt;
use snafu::Snafu;

const TEXT: ProgramText = ProgramText {
    name: "pomeloramp-reports",
    version: env!("CARGO_PKG_VERSION"),
    help: "\
Runs the comparisons of pomeloramp's policies and draws them as plots.

Usage: pomeloramp-reports OUT_DIR [OPTIONS]

Writes SVG files and index.html into OUT_DIR, which is made if it does not exist.

Options:
      --seed NUMBER      seed of all runs, 1 by default
      --entries NUMBER   entries of the routing runs, 8 by default
      --endpoints NUMBER endpoints of the routing runs, 16 by default
      --layers NUMBER    layers of the balance runs, 64 by default
      --slots NUMBER     slots of each rank in the balance runs, 2 by default
  -h, --help             print this text
  -V, --version          print the version

Exit codes:
  0  success
  1  the report could not be made
  2  the arguments were refused
",
};

/// Why the arguments were refused.
#[derive(Debug, Snafu)]
enum RequestError {
    /// An argument is unknown or has the wrong form.
    #[snafu(display("{source}"), context(false))]
    Arguments { source: ArgumentsError },
    /// Nothing says where to write.
    #[snafu(display("OUT_DIR is missing, see --help"))]
    NoDirectory,
}

/// What the arguments ask for.
struct Request {
    out_dir: PathBuf,
    settings: ReportSettings,
}

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if let Some(text) = TEXT.help_or_version(&mut arguments) {
        print!("{text}");
        return ExitCode::SUCCESS;
    }
    let request = match request(arguments) {
        Ok(request) => request,
        Err(error) => {
            eprintln!("{}: {error}", TEXT.name);
            return USAGE_EXIT_CODE.into();
        }
    };
    if let Err(error) = write_report(&request) {
        eprintln!("{}: {error}", TEXT.name);
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn request(mut arguments: Arguments) -> Result<Request, RequestError> {
    let invalid = |source| ArgumentsError::Invalid { source };
    let mut number = |name| {
        arguments
            .opt_value_from_str::<_, u32>(name)
            .map_err(invalid)
    };
    let seed = number("--seed")?.map(u64::from);
    let entries = number("--entries")?.map(|count| count as usize);
    let endpoints = number("--endpoints")?.map(|count| count as usize);
    let layers = number("--layers")?.map(|count| count as usize);
    let slots_per_rank = number("--slots")?;
    let settings = ReportSettings::builder()
        .maybe_seed(seed)
        .maybe_entries(entries)
        .maybe_endpoints(endpoints)
        .maybe_layers(layers)
        .maybe_slots_per_rank(slots_per_rank)
        .build();
    let out_dir: Option<String> = arguments.opt_free_from_str().map_err(invalid)?;
    let out_dir = out_dir.context(NoDirectorySnafu)?;
    if out_dir.starts_with('-') {
        return Err(TEXT.unknown_argument(&out_dir).into());
    }
    TEXT.refuse_remaining(arguments)?;
    let out_dir = out_dir.into();
    Ok(Request { out_dir, settings })
}

fn write_report(request: &Request) -> Result<(), ReportError> {
    let directory = ReportDirectory::create(&request.out_dir)?;
    let mut sections = Vec::new();
    for make in SECTIONS {
        let began = Instant::now();
        let section = make(&request.settings)?;
        directory.write_plots(&section)?;
        println!(
            "{}: {}; {} plots, {:.1} s",
            section.heading,
            section.run,
            section.plots.len(),
            began.elapsed().as_secs_f64()
        );
        sections.push(section);
    }
    let page = directory.write_page(&sections)?;
    println!("{}", page.display());
    Ok(())
}
