//! Report of a capacity run, as a table or as JSON.

use std::fmt::Write;

use serde::Deserialize;
use serde::Serialize;

use super::Budget;
use super::BudgetLine;
use super::DesignSize;
use super::Slope;

/// Result of a capacity run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CapacityReport {
    /// Fleet size that the budget is derived for.
    pub design: DesignSize,
    /// Measured slopes.
    pub slopes: Vec<Slope>,
    /// Derived budget.
    pub budget: Budget,
}

impl CapacityReport {
    /// Derives the budget from measured slopes.
    #[must_use]
    pub fn new(design: DesignSize, slopes: Vec<Slope>) -> Self {
        let budget = Budget::derive(&slopes, &design);
        Self {
            design,
            slopes,
            budget,
        }
    }

    /// Returns the report as Markdown tables.
    #[must_use]
    pub fn to_markdown(&self) -> String {
        let mut out = String::new();
        out.push_str("| role | quantity | bound | at design size | at 2 x | at 10 x | unit |\n");
        out.push_str("|---|---|---|---|---|---|---|\n");
        for line in &self.budget.lines {
            push_budget_line(&mut out, line);
        }
        out.push_str("\n| slope | size unit | points (size: cost) | cost per unit | at size 0 | R² | cost unit |\n");
        out.push_str("|---|---|---|---|---|---|---|\n");
        for slope in &self.slopes {
            push_slope(&mut out, slope);
        }
        out
    }
}

fn push_budget_line(out: &mut String, line: &BudgetLine) {
    let role = format!("{:?}", line.role).to_lowercase();
    let bound = line.bound.map_or_else(|| "none".to_owned(), format_figure);
    let figures = [line.at_design, line.at_2x, line.at_10x]
        .map(format_figure)
        .join(" | ");
    // Writing to a `String` never fails.
    let _ = writeln!(
        out,
        "| {role} | {} | {bound} | {figures} | {} |",
        line.quantity, line.unit
    );
}

fn push_slope(out: &mut String, slope: &Slope) {
    let point = |p: &super::Point| format!("{}: {}", format_figure(p.size), format_figure(p.cost));
    let points = slope
        .points
        .iter()
        .map(point)
        .collect::<Vec<_>>()
        .join(", ");
    let _ = writeln!(
        out,
        "| {} | {} | {points} | {} | {} | {:.3} | {} |",
        slope.name,
        slope.size_unit,
        format_figure(slope.fit.slope),
        format_figure(slope.fit.intercept),
        slope.fit.r_squared,
        slope.cost_unit
    );
}

fn format_figure(value: f64) -> String {
    let magnitude = value.abs();
    if magnitude >= 1_000.0 || value == 0.0 {
        format!("{value:.0}")
    } else if magnitude >= 1.0 {
        format!("{value:.1}")
    } else {
        format!("{value:.5}")
    }
}
