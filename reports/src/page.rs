//! The page that shows the plots of a report.

use crate::section::Section;

const HEAD: &str = "\
<!DOCTYPE html>
<html lang=\"en\">
<head>
<meta charset=\"utf-8\">
<title>pomeloramp: comparison runs</title>
<style>
body { font-family: sans-serif; max-width: 1040px; margin: 2em auto; }
figure { margin: 1.5em 0; }
img { max-width: 100%; border: 1px solid #ccc; }
</style>
</head>
<body>
<h1>pomeloramp: comparison runs</h1>
";
const FOOT: &str = "</body>\n</html>\n";

/// Returns the page, as HTML without scripts.
#[must_use]
pub fn page(sections: &[Section]) -> String {
    let sections: String = sections.iter().map(section_text).collect();
    format!("{HEAD}{sections}{FOOT}")
}

fn section_text(section: &Section) -> String {
    let (heading, run) = (escaped(section.heading), escaped(&section.run));
    let figures = section.plots.iter().map(|plot| {
        let (name, caption) = (escaped(&plot.file_name), escaped(&plot.caption));
        format!(
            "<figure>\n<img src=\"{name}\" alt=\"{caption}\">\n<figcaption>{caption}</figcaption>\n\
             </figure>\n"
        )
    });
    let figures: String = figures.collect();
    format!("<h2>{heading}</h2>\n<p>Run: {run}.</p>\n{figures}")
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
