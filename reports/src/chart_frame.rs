//! What surrounds the data of every chart: canvas, title, legend, axes.

use plotters::backend::SVGBackend;
use plotters::chart::ChartContext;
use plotters::coord::Shift;
use plotters::coord::cartesian::Cartesian2d;
use plotters::coord::ranged1d::Ranged;
use plotters::coord::ranged1d::ValueFormatter;
use plotters::coord::types::RangedCoordf64;
use plotters::drawing::DrawingArea;
use plotters::drawing::DrawingAreaErrorKind;
use plotters::drawing::IntoDrawingArea;
use plotters::element::PathElement;
use plotters::element::Rectangle;
use plotters::element::Text;
use plotters::style::Color;
use plotters::style::RGBColor;
use plotters::style::WHITE;

use crate::report_error::ReportError;

const WIDTH: u32 = 1_000;
const HEIGHT: u32 = 440;
const LEGEND_WIDTH: u32 = 210;
const LEGEND_TOP: i32 = 30;
const LEGEND_LINE: i32 = 22;
const SAMPLE_WIDTH: i32 = 16;
/// Family of every text.
pub(crate) const FONT: &str = "sans-serif";
/// Size of axis labels and legends, in pixels.
pub(crate) const TEXT_SIZE: u32 = 14;
const TITLE_SIZE: u32 = 19;
/// Space for the labels of the value axis, in pixels.
pub(crate) const LEFT_SPACE: u32 = 76;
/// Space for the labels of the other axis, in pixels.
pub(crate) const BOTTOM_SPACE: u32 = 56;
/// Space around the plotting area, in pixels.
pub(crate) const MARGIN: u32 = 10;

/// Colours that are told apart with any kind of colour vision.
const PALETTE: [RGBColor; 6] = [
    RGBColor(213, 94, 0),
    RGBColor(86, 180, 233),
    RGBColor(230, 159, 0),
    RGBColor(0, 114, 178),
    RGBColor(204, 121, 167),
    RGBColor(0, 158, 115),
];
/// Colour of limits and bounds.
pub(crate) const LIMIT_COLOUR: RGBColor = RGBColor(60, 60, 60);
/// Colour of goals.
pub(crate) const GOAL_COLOUR: RGBColor = RGBColor(160, 160, 160);

/// How values are mapped to heights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scale {
    /// In proportion to the value.
    Linear,
    /// In proportion to the logarithm of the value.
    Logarithmic,
}

/// One entry of a legend.
#[derive(Debug, Clone)]
pub(crate) struct LegendEntry<'a> {
    pub(crate) name: &'a str,
    pub(crate) colour: RGBColor,
    pub(crate) is_line: bool,
}

/// Area of an SVG document.
pub(crate) type SvgArea<'a> = DrawingArea<SVGBackend<'a>, Shift>;
/// Chart with a linear horizontal axis.
pub(crate) type SvgChart<'a, 'b, Y> =
    ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, Y>>;
/// Why the plotting library refused.
pub(crate) type DrawError = DrawingAreaErrorKind<std::io::Error>;

/// Returns the colour of the series with this number.
pub(crate) fn colour(number: usize) -> RGBColor {
    PALETTE[number % PALETTE.len()]
}

/// Draws a document with a title and a legend at the right; `draw` fills the rest.
pub(crate) fn draw_document(
    title: &str,
    legend: &[LegendEntry],
    draw: impl FnOnce(&SvgArea) -> Result<(), DrawError>,
) -> Result<String, ReportError> {
    let mut document = String::new();
    let drawn = draw_parts(&mut document, title, legend, draw);
    match drawn {
        Ok(()) => Ok(document),
        Err(error) => Err(ReportError::Draw {
            title: title.to_owned(),
            reason: error.to_string(),
        }),
    }
}

fn draw_parts(
    document: &mut String,
    title: &str,
    legend: &[LegendEntry],
    draw: impl FnOnce(&SvgArea) -> Result<(), DrawError>,
) -> Result<(), DrawError> {
    let root = SVGBackend::with_string(document, (WIDTH, HEIGHT)).into_drawing_area();
    root.fill(&WHITE)?;
    let body = root.titled(title, (FONT, TITLE_SIZE))?;
    let (chart_area, legend_area) = body.split_horizontally(WIDTH - LEGEND_WIDTH);
    draw_legend(&legend_area, legend)?;
    draw(&chart_area)?;
    root.present()
}

fn draw_legend(area: &SvgArea, legend: &[LegendEntry]) -> Result<(), DrawError> {
    let mut top = LEGEND_TOP;
    for entry in legend {
        let middle = top + SAMPLE_WIDTH / 2;
        if entry.is_line {
            let ends = vec![(0, middle), (SAMPLE_WIDTH, middle)];
            area.draw(&PathElement::new(ends, entry.colour.stroke_width(3)))?;
        } else {
            let corners = [(0, top), (SAMPLE_WIDTH, top + SAMPLE_WIDTH)];
            area.draw(&Rectangle::new(corners, entry.colour.filled()))?;
        }
        let text_place = (SAMPLE_WIDTH + 8, top + 2);
        area.draw(&Text::new(
            entry.name.to_owned(),
            text_place,
            (FONT, TEXT_SIZE),
        ))?;
        top += LEGEND_LINE;
    }
    Ok(())
}

/// Draws the axes, the horizontal one with so many labels.
pub(crate) fn draw_axes<Y>(
    chart: &mut SvgChart<Y>,
    x_label: &str,
    y_label: &str,
    x_labels: usize,
) -> Result<(), DrawError>
where
    Y: Ranged<ValueType = f64> + ValueFormatter<f64>,
{
    let format = |value: &f64| format_value(*value);
    chart
        .configure_mesh()
        .disable_x_mesh()
        .light_line_style(WHITE.mix(0.0))
        .x_labels(x_labels)
        .y_labels(8)
        .x_desc(x_label)
        .y_desc(y_label)
        .x_label_formatter(&format)
        .y_label_formatter(&format)
        .label_style((FONT, TEXT_SIZE))
        .axis_desc_style((FONT, TEXT_SIZE))
        .draw()
}

/// Returns the range of an axis that starts at zero or, on a logarithmic scale, at the power of ten
/// below the least positive value.
pub(crate) fn value_range(values: &[f64], scale: Scale) -> std::ops::Range<f64> {
    let highest = values.iter().copied().fold(0.0, f64::max);
    let positive = values.iter().copied().filter(|value| *value > 0.0);
    let lowest = positive.fold(f64::INFINITY, f64::min);
    match scale {
        _ if highest <= 0.0 => 0.0..1.0,
        Scale::Linear => 0.0..highest * 1.05,
        Scale::Logarithmic => 10_f64.powf(lowest.log10().floor())..highest * 1.3,
    }
}

/// Formats a value with as many digits as its size needs.
fn format_value(value: f64) -> String {
    let size = value.abs();
    if size >= 10_000.0 {
        format!("{:.0}k", value / 1_000.0)
    } else if size >= 10.0 || value == 0.0 {
        format!("{value:.0}")
    } else {
        let text = format!("{value:.2}");
        text.trim_end_matches('0').trim_end_matches('.').to_owned()
    }
}
