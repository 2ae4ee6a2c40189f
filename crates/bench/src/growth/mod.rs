//! How load grows with the number of machines, from the table that a sweep of the users' bench prints.
//!
//! ```
//! use samphirespread_bench::growth::Growth;
//!
//! let table = "                        30     100  power  at 509\n\
//!              gateway: memory MB   4.0 / 6.4   3.5 / 4.9  0.02  6.9\n";
//! let growth = Growth::parse(table).unwrap();
//!
//! assert_eq!(growth.rows[0].busiest, [6.4, 4.9]);
//! ```

use std::{error::Error, path::Path};

use displaydoc::Display;
use plotters::prelude::*;

const SIZE_PIXELS: (u32, u32) = (900, 520);
/// The column after those of the sizes.
const AFTER_SIZES: &str = "power";

/// A table that can't be read or drawn.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum GrowthError {
    /// no line names sizes before the column `power`
    NoSizes,
    /// no row has a value for each of {sizes} sizes
    NoRows {
        /// The sizes that the table names.
        sizes: usize,
    },
    /// the plot can't be drawn: {0}
    Plot(String),
}

impl Error for GrowthError {}

/// The table of a sweep.
#[derive(Clone, Debug, PartialEq)]
pub struct Growth {
    /// Machines of the system.
    pub machines: Vec<u32>,
    /// What was measured.
    pub rows: Vec<Row>,
}

/// One line of the table.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// What was measured, with its unit.
    pub what: String,
    /// The value of the busiest process, or the longest time, at each size.
    pub busiest: Vec<f64>,
}

impl Growth {
    /// Reads the table out of all that a sweep printed.
    ///
    /// # Errors
    ///
    /// When it is not there.
    pub fn parse(text: &str) -> Result<Self, GrowthError> {
        let machines = text.lines().find_map(sizes).ok_or(GrowthError::NoSizes)?;
        let rows: Vec<Row> = text.lines().filter_map(|line| row(line, machines.len())).collect();
        if rows.is_empty() {
            return Err(GrowthError::NoRows { sizes: machines.len() });
        }
        Ok(Self { machines, rows })
    }

    /// Draws the rows of one role, each as a multiple of its value at the smallest size.
    ///
    /// # Errors
    ///
    /// When the file can't be written.
    pub fn draw(&self, path: &Path, role: &str) -> Result<(), GrowthError> {
        self.draw_lines(path, role).map_err(|error| GrowthError::Plot(error.to_string()))
    }

    fn draw_lines(&self, path: &Path, role: &str) -> Result<(), Box<dyn Error>> {
        let root = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
        root.fill(&WHITE)?;
        let first = f64::from(self.machines.first().copied().unwrap_or(1));
        let last = f64::from(self.machines.last().copied().unwrap_or(1));
        let mut chart = ChartBuilder::on(&root)
            .caption(format!("{role}: multiple of the smallest size"), ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d((first..last).log_scale(), (0.1..100.0).log_scale())?;
        chart.configure_mesh().x_desc("machines of the system").y_desc("multiple").draw()?;
        for (index, row) in self.rows.iter().filter(|row| row.what.starts_with(role)).enumerate() {
            let color = Palette99::pick(index).to_rgba();
            let base = row.busiest.first().copied().unwrap_or(1.0).max(f64::MIN_POSITIVE);
            let sizes = self.machines.iter().map(|machines| f64::from(*machines));
            let points = sizes.zip(row.busiest.iter().map(|value| value / base));
            chart
                .draw_series(LineSeries::new(points, color.stroke_width(2)))?
                .label(&row.what)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        root.present()?;
        Ok(())
    }
}

fn sizes(line: &str) -> Option<Vec<u32>> {
    let words = line.split_whitespace();
    let sizes: Vec<u32> = words.clone().map_while(|word| word.parse().ok()).collect();
    let ends_well = words.clone().nth(sizes.len()) == Some(AFTER_SIZES);
    (ends_well && !sizes.is_empty()).then_some(sizes)
}

/// A line such as `gateway: memory MB   4.0 / 6.4   3.5 / 4.9   0.02  6.9`.
fn row(line: &str, sizes: usize) -> Option<Row> {
    let (what, values) = line.split_once("  ")?;
    let words: Vec<&str> = values.split_whitespace().collect();
    let pairs = words.windows(3).filter(|words| words[1] == "/");
    let busiest: Vec<f64> = pairs.filter_map(|words| words[2].parse().ok()).collect();
    let is_whole = busiest.len() == sizes && !what.trim().is_empty();
    is_whole.then(|| Row { what: what.trim().to_owned(), busiest })
}
