//! Shows what a template yields for one organisation.

use pico_args::Arguments;
use pomeloramp_lib::ProgramText;
use pomeloramp_lib::protos::template::OrganisationParameters;
use pomeloramp_lib::protos::template::RebalanceParameters;
use pomeloramp_lib::protos::template::ServiceTemplate;
use pomeloramp_proc_macros::document;

use crate::ctl_error::CtlError;
use crate::ctl_error::NoOrganisationSnafu;
use crate::report::OutputFormat;
use crate::report::Report;
use crate::report::json_text;
use crate::table::Table;
use crate::template_file::TemplateFile;

const TEXT: ProgramText = ProgramText {
    name: "pomelorampctl render",
    version: env!("CARGO_PKG_VERSION"),
    help: "\
Shows what a template yields for one organisation, with its share worked out.

Usage: pomelorampctl render FILE --organisation NAME [--service NAME] [--json]

Options:
  --organisation NAME  the organisation; must be declared in the template
  --service NAME       require that the template is that of NAME
  --json               print JSON in place of a table
  -h, --help           print this text
  -V, --version        print the version
",
};

/// What a template yields for one organisation.
#[document]
struct Rendered {
    service: String,
    kind: String,
    repeatable: bool,
    deadline_ms: u64,
    organisation: String,
    max_in_flight: u32,
    urgency: u32,
    /// Part of each endpoint that is the organisation's own.
    share_percent: f64,
    /// Part of the idle capacity of others when every organisation asks for it.
    idle_share_percent: f64,
    skew_weight: f64,
    move_weight: f64,
    horizon_s: u64,
    redundant_experts_per_rank: u32,
    max_moves_per_plan: u32,
}

/// Runs the command.
pub(crate) fn run(mut arguments: Arguments) -> Result<Report, CtlError> {
    if let Some(text) = TEXT.help_or_version(&mut arguments) {
        return Ok(Report::success(text));
    }
    let organisation: Option<String> = arguments
        .opt_value_from_str("--organisation")
        .map_err(CtlError::from_pico)?;
    let file = TemplateFile::parse(arguments, &TEXT)?;
    let organisation = organisation.ok_or(CtlError::NoOrganisationGiven)?;
    let template = match file.load()? {
        Ok(template) => template,
        Err(failure) => return Ok(failure),
    };
    let parameters = find(&template, &organisation, &file)?;
    let rendered = Rendered::new(&template, parameters);
    let text = match file.format {
        OutputFormat::Table => table(&rendered).to_string(),
        OutputFormat::Json => json_text(&rendered),
    };
    Ok(Report::success(text))
}

fn find<'a>(
    template: &'a ServiceTemplate,
    organisation: &str,
    file: &TemplateFile,
) -> Result<&'a OrganisationParameters, CtlError> {
    let organisations = &template.organisations;
    let found = organisations
        .iter()
        .find(|declared| declared.organisation == organisation);
    found.ok_or_else(|| {
        let names: Vec<&str> = organisations
            .iter()
            .map(|declared| declared.organisation.as_str())
            .collect();
        NoOrganisationSnafu {
            organisation,
            path: file.path(),
            known: names.join(", "),
        }
        .build()
    })
}

impl Rendered {
    fn new(template: &ServiceTemplate, organisation: &OrganisationParameters) -> Self {
        let rebalance: RebalanceParameters = template.rebalance.unwrap_or_default();
        Self {
            service: template.service.clone(),
            kind: template.kind.clone(),
            repeatable: template.repeatable,
            deadline_ms: template.deadline_ms,
            organisation: organisation.organisation.clone(),
            max_in_flight: organisation.max_in_flight,
            urgency: organisation.urgency,
            share_percent: percent(template, organisation, |declared| declared.share_weight),
            idle_share_percent: percent(template, organisation, |declared| declared.idle_weight),
            skew_weight: rebalance.skew_weight,
            move_weight: rebalance.move_weight,
            horizon_s: rebalance.horizon_s,
            redundant_experts_per_rank: rebalance.redundant_experts_per_rank,
            max_moves_per_plan: rebalance.max_moves_per_plan,
        }
    }
}

/// Returns the organisation's part of the sum of a weight, in percent.
fn percent(
    template: &ServiceTemplate,
    organisation: &OrganisationParameters,
    weight: impl Fn(&OrganisationParameters) -> u32,
) -> f64 {
    let sum: f64 = template
        .organisations
        .iter()
        .map(|declared| f64::from(weight(declared)))
        .sum();
    if sum == 0.0 {
        return 0.0;
    }
    100.0 * f64::from(weight(organisation)) / sum
}

fn table(rendered: &Rendered) -> Table {
    let mut table = Table::new(&["PARAMETER", "VALUE"]);
    let document = serde_json::to_value(rendered).expect("parameters serialise");
    for (name, value) in document.as_object().into_iter().flatten() {
        let text = value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned);
        table.push([name.clone(), text]);
    }
    table
}
