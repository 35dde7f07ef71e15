//! Measured points and the lines through them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// One measurement.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Size.
    pub x: f64,
    /// Cost at that size.
    pub y: f64,
}

/// How a cost depends on a size.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    /// What the size counts.
    pub size: String,
    /// What the cost counts, with its unit.
    pub cost: String,
    /// The measurements, smallest size first.
    pub points: Vec<Point>,
}

/// All slopes by name.
pub type Slopes = BTreeMap<String, Slope>;

/// A straight line.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// Cost at size zero.
    pub base: f64,
    /// Cost for each further unit of size.
    pub per_unit: f64,
    /// Largest distance of a point from the line, in percent of the largest cost.
    pub off_percent: f64,
}

impl Slope {
    /// Creates a slope without points.
    #[must_use]
    pub fn new(size: &str, cost: &str) -> Self {
        Self {
            size: size.to_owned(),
            cost: cost.to_owned(),
            points: Vec::new(),
        }
    }

    /// Adds a measurement.
    pub fn push(&mut self, x: f64, y: f64) {
        self.points.push(Point { x, y });
    }

    /// Fits a line by least squares. Without two different sizes the line is flat. A line that
    /// would fall is taken as flat at the last point: what a larger fleet shares out is not to
    /// be extended below what was measured.
    #[must_use]
    pub fn line(&self) -> Line {
        let count = self.count();
        let mean = |value: fn(&Point) -> f64| self.points.iter().map(value).sum::<f64>() / count;
        let mean_x = mean(|point| point.x);
        let mean_y = mean(|point| point.y);
        let spread: f64 = self
            .points
            .iter()
            .map(|point| (point.x - mean_x).powi(2))
            .sum();
        let joint: f64 = self
            .points
            .iter()
            .map(|point| (point.x - mean_x) * (point.y - mean_y))
            .sum();
        let per_unit = if spread > 0.0 { joint / spread } else { 0.0 };
        let last = self.points.last().map_or(0.0, |point| point.y);
        let (base, per_unit) = if per_unit < 0.0 {
            (last, 0.0)
        } else {
            (mean_y - per_unit * mean_x, per_unit)
        };
        let line = Line {
            base,
            per_unit,
            off_percent: 0.0,
        };
        Line {
            off_percent: self.off_percent(line),
            ..line
        }
    }

    fn off_percent(&self, line: Line) -> f64 {
        let distances = self.points.iter();
        let distances = distances.map(|point| (point.y - line.at(point.x)).abs());
        let largest = self.points.iter().map(|point| point.y.abs());
        let largest = largest.fold(f64::MIN_POSITIVE, f64::max);
        100.0 * distances.fold(0.0, f64::max) / largest
    }

    #[expect(clippy::cast_precision_loss, reason = "there are few points")]
    fn count(&self) -> f64 {
        self.points.len().max(1) as f64
    }
}

impl Line {
    /// Returns the cost at size `x`; never below zero.
    #[must_use]
    pub fn at(self, x: f64) -> f64 {
        (self.base + self.per_unit * x).max(0.0)
    }
}
