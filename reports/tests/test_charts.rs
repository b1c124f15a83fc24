//! Tests of the drawing of charts.

use googletest::prelude::*;
use pomeloramp_reports::BarArrangement;
use pomeloramp_reports::BarChart;
use pomeloramp_reports::BarSeries;
use pomeloramp_reports::Limit;
use pomeloramp_reports::LineChart;
use pomeloramp_reports::LineKind;
use pomeloramp_reports::LineSeriesData;
use pomeloramp_reports::ReportError;
use pomeloramp_reports::Scale;

fn bars(arrangement: BarArrangement, scale: Scale) -> std::result::Result<String, ReportError> {
    let series = |name: &str, values: [f64; 3]| BarSeries {
        name: name.to_owned(),
        values: values.into(),
    };
    let limit = Limit {
        name: "limit <6 & more".to_owned(),
        value: 40.0,
    };
    let chart = BarChart::builder()
        .title("a title")
        .x_label("loads")
        .y_label("waits, ms")
        .categories(
            ["steady", "a much longer rush", "none at all"]
                .map(str::to_owned)
                .into(),
        )
        .series(vec![
            series("first", [1.0, 250.0, 0.0]),
            series("second", [3.5, 12_000.0, 7.0]),
        ])
        .arrangement(arrangement)
        .scale(scale)
        .limit(limit)
        .build();
    chart.draw()
}

fn lines(scale: Scale) -> std::result::Result<String, ReportError> {
    let series = |name: &str, kind| LineSeriesData {
        name: name.to_owned(),
        points: vec![(1.0, 1.5), (2.0, 0.0), (3.0, 90.0)],
        kind,
    };
    let chart = LineChart::builder()
        .title("a title")
        .x_label("minutes")
        .y_label("skew")
        .series(vec![
            series("measured", LineKind::Measured),
            series("bound", LineKind::Bound),
        ])
        .scale(scale)
        .build();
    chart.draw()
}

/// Returns the texts of a document, or why it is not well formed: tags that do not match, or
/// characters that have to be escaped.
fn texts(svg: &str) -> std::result::Result<Vec<String>, String> {
    let mut open = Vec::new();
    let mut texts = Vec::new();
    for part in svg.split('<').skip(1) {
        let (tag, text) = part.split_once('>').ok_or("a tag without its end")?;
        let name = tag.split_whitespace().next().unwrap_or_default();
        if let Some(name) = name.strip_prefix('/') {
            let opened = open.pop().ok_or(format!("{name} is closed twice"))?;
            if opened != name {
                return Err(format!("{opened} is closed by {name}"));
            }
        } else if !tag.ends_with('/') {
            open.push(name);
        }
        let entities = text.matches("&amp;").count() + text.matches("&lt;").count();
        if text.matches('&').count() != entities || text.contains('>') || tag.contains('&') {
            return Err(format!("unescaped text in {part:?}"));
        }
        if !text.trim().is_empty() {
            texts.push(text.trim().to_owned());
        }
    }
    if open.is_empty() {
        Ok(texts)
    } else {
        Err(format!("never closed: {open:?}"))
    }
}

#[googletest::test]
fn bars_show_title_axes_categories_and_every_series() -> Result<()> {
    for (arrangement, scale) in [
        (BarArrangement::Grouped, Scale::Linear),
        (BarArrangement::Grouped, Scale::Logarithmic),
        (BarArrangement::Stacked, Scale::Linear),
    ] {
        let svg = bars(arrangement, scale).or_fail()?;
        let shown = texts(&svg).or_fail()?;
        for text in [
            "a title",
            "loads",
            "waits, ms",
            "steady",
            "a much",
            "longer rush",
            "first",
        ] {
            expect_that!(shown, contains(eq(text)));
        }
        expect_that!(shown, contains(eq("second")));
        expect_that!(shown, contains(eq("limit &lt;6 &amp; more")));
        let bars = svg.matches("fill=\"#D55E00\"").count();
        expect_that!(bars, eq(4), "three bars and the legend");
    }
    Ok(())
}

#[googletest::test]
fn lines_show_title_axes_and_every_series() -> Result<()> {
    for scale in [Scale::Linear, Scale::Logarithmic] {
        let svg = lines(scale).or_fail()?;
        let shown = texts(&svg).or_fail()?;
        for text in ["a title", "minutes", "skew", "measured", "bound"] {
            expect_that!(shown, contains(eq(text)));
        }
        expect_that!(
            svg.matches("stroke=\"#D55E00\"").count(),
            ge(2),
            "a line and the legend"
        );
        expect_that!(
            svg.matches("stroke=\"#3C3C3C\"").count(),
            gt(2),
            "dashes and the legend"
        );
    }
    Ok(())
}

#[googletest::test]
fn a_chart_without_values_is_drawn_all_the_same() -> Result<()> {
    let chart = BarChart::builder()
        .title("nothing")
        .x_label("x")
        .y_label("y")
        .categories(Vec::new())
        .series(Vec::new())
        .scale(Scale::Logarithmic)
        .build();
    expect_that!(
        texts(&chart.draw().or_fail()?).or_fail()?,
        contains(eq("nothing"))
    );
    Ok(())
}
