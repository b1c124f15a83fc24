//! Validation of service templates.

use std::collections::HashSet;
use std::fmt::Write;
use std::ops::RangeInclusive;

use crate::TemplateProblem;
use crate::YamlLocation;
use crate::protos::template::OrganisationParameters;
use crate::protos::template::RebalanceParameters;
use crate::protos::template::ServiceTemplate;
use crate::yaml_location::message_of;

const MAX_TEMPLATE_BYTES: usize = 1024 * 1024;
const MAX_NAME_BYTES: usize = 64;
const KINDS: [&str; 2] = ["model", "plain"];
const CREDENTIAL_DIGITS: usize = 64;
const DEADLINE_MS: RangeInclusive<u64> = 1..=3_600_000;
const HORIZON_S: RangeInclusive<u64> = 1..=86_400;
const REBALANCE_WEIGHT: RangeInclusive<f64> = 0.0..=1e6;
const REDUNDANT_EXPERTS: RangeInclusive<u64> = 0..=64;
const MOVES_PER_PLAN: RangeInclusive<u64> = 0..=1_000_000;
const IN_FLIGHT: RangeInclusive<u64> = 1..=1_000_000;
const URGENCY: RangeInclusive<u64> = 0..=9;
const SHARE_WEIGHT: RangeInclusive<u64> = 0..=1_000_000;

/// Parses and validates the YAML template of `service`.
///
/// The result depends only on the arguments, so all processes of one version accept the same
/// templates.
///
/// # Errors
///
/// Returns at least one problem, each with its location in the document. A syntax error or unknown
/// field is returned alone; otherwise all problems are returned.
pub fn check_template(
    service: &str,
    document: &[u8],
) -> Result<ServiceTemplate, Vec<TemplateProblem>> {
    let text = document_text(document).map_err(|problem| vec![problem])?;
    let template: ServiceTemplate =
        serde_norway::from_str(text).map_err(|error| vec![parser_problem(&error)])?;
    let mut checker = Checker {
        text,
        problems: Vec::new(),
    };
    checker.check_service(service, &template);
    if checker.problems.is_empty() {
        Ok(template)
    } else {
        Err(checker.problems)
    }
}

fn document_text(document: &[u8]) -> Result<&str, TemplateProblem> {
    let problem = |message| TemplateProblem {
        location: YamlLocation::START,
        path: String::new(),
        message,
    };
    if document.len() > MAX_TEMPLATE_BYTES {
        let len_bytes = document.len();
        let message = format!("document has {len_bytes} bytes, more than {MAX_TEMPLATE_BYTES}");
        return Err(problem(message));
    }
    std::str::from_utf8(document)
        .map_err(|error| problem(format!("document is not UTF-8: {error}")))
}

fn parser_problem(error: &serde_norway::Error) -> TemplateProblem {
    TemplateProblem {
        location: YamlLocation::of_error(error).unwrap_or(YamlLocation::START),
        path: String::new(),
        message: message_of(error),
    }
}

/// Collects the problems of one document.
struct Checker<'a> {
    text: &'a str,
    problems: Vec<TemplateProblem>,
}

impl Checker<'_> {
    fn check_service(&mut self, service: &str, template: &ServiceTemplate) {
        let path = ["service"];
        self.check_name(&path, &template.service);
        if template.service != service {
            let message = format!("is {:?} under the key of {service:?}", template.service);
            self.report(&path, message);
        }
        if !KINDS.contains(&template.kind.as_str()) {
            let message = format!("{:?} is none of {KINDS:?}", template.kind);
            self.report(&["kind"], message);
        }
        let path = ["deadline_ms"];
        self.check_range(&path, template.deadline_ms, &DEADLINE_MS);
        if let Some(rebalance) = &template.rebalance {
            self.check_rebalance(rebalance);
        }
        self.check_organisations(&template.organisations);
    }

    fn check_rebalance(&mut self, rebalance: &RebalanceParameters) {
        let path = |field| ["rebalance", field];
        self.check_weight(&path("skew_weight"), rebalance.skew_weight);
        self.check_weight(&path("move_weight"), rebalance.move_weight);
        self.check_range(&path("horizon_s"), rebalance.horizon_s, &HORIZON_S);
        let redundant_experts = rebalance.redundant_experts_per_rank.into();
        let redundant_path = path("redundant_experts_per_rank");
        self.check_range(&redundant_path, redundant_experts, &REDUNDANT_EXPERTS);
        let moves = rebalance.max_moves_per_plan.into();
        self.check_range(&path("max_moves_per_plan"), moves, &MOVES_PER_PLAN);
    }

    fn check_organisations(&mut self, organisations: &[OrganisationParameters]) {
        let mut names = HashSet::new();
        let mut credentials = HashSet::new();
        for (index, organisation) in organisations.iter().enumerate() {
            self.check_organisation(index, organisation);
            let index = index.to_string();
            if !names.insert(organisation.organisation.as_str()) {
                let path = ["organisations", &index, "organisation"];
                let message = format!("{:?} is declared twice", organisation.organisation);
                self.report(&path, message);
            }
            if !credentials.insert(organisation.credential_sha256.to_ascii_lowercase()) {
                let path = ["organisations", &index, "credential_sha256"];
                self.report(&path, "belongs to another organisation too".to_owned());
            }
        }
    }

    fn check_organisation(&mut self, index: usize, organisation: &OrganisationParameters) {
        let index = index.to_string();
        let path = |field| ["organisations", &index, field];
        self.check_name(&path("organisation"), &organisation.organisation);
        let credential = &organisation.credential_sha256;
        let is_hexadecimal = credential.bytes().all(|byte| byte.is_ascii_hexdigit());
        if credential.len() != CREDENTIAL_DIGITS || !is_hexadecimal {
            let message = format!("is not {CREDENTIAL_DIGITS} hexadecimal digits");
            self.report(&path("credential_sha256"), message);
        }
        let ranges = [
            ("max_in_flight", organisation.max_in_flight, IN_FLIGHT),
            ("urgency", organisation.urgency, URGENCY),
            ("share_weight", organisation.share_weight, SHARE_WEIGHT),
            ("idle_weight", organisation.idle_weight, SHARE_WEIGHT),
        ];
        for (field, number, range) in ranges {
            self.check_range(&path(field), number.into(), &range);
        }
    }

    fn check_name(&mut self, path: &[&str], name: &str) {
        let in_charset = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(in_charset) {
            let message =
                format!("{name:?} is not 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'");
            self.report(path, message);
        }
    }

    fn check_range(&mut self, path: &[&str], number: u64, range: &RangeInclusive<u64>) {
        if !range.contains(&number) {
            let message = format!("{number} is not from {} to {}", range.start(), range.end());
            self.report(path, message);
        }
    }

    fn check_weight(&mut self, path: &[&str], weight: f64) {
        if !REBALANCE_WEIGHT.contains(&weight) {
            let range = REBALANCE_WEIGHT;
            let message = format!("{weight} is not from {} to {}", range.start(), range.end());
            self.report(path, message);
        }
    }

    /// Adds a problem at `path`, or at the nearest enclosing value if the document omits `path`.
    fn report(&mut self, path: &[&str], message: String) {
        let location_of_prefix = |len| YamlLocation::of_path(self.text, &path[..len]);
        let location = (1..=path.len()).rev().find_map(location_of_prefix);
        self.problems.push(TemplateProblem {
            location: location.unwrap_or(YamlLocation::START),
            path: path_text(path),
            message,
        });
    }
}

fn path_text(path: &[&str]) -> String {
    let mut text = String::new();
    for step in path {
        if step.parse::<usize>().is_ok() {
            write!(text, "[{step}]").expect("writing to a string never fails");
        } else if text.is_empty() {
            text.push_str(step);
        } else {
            write!(text, ".{step}").expect("writing to a string never fails");
        }
    }
    text
}
