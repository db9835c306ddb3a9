//! Reports as tables.

use std::fmt;

use crate::Bound;
use crate::Figure;
use crate::Report;

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "profile {}, seed {}, policy {}",
            self.profile, self.seed, self.policy
        )?;
        writeln!(
            f,
            "{:<13} {:<58} {:>12} {:>12} {:>12}  met",
            "experiment", "figure", "target", "baseline", "current"
        )?;
        for figure in &self.figures {
            writeln!(f, "{figure}")?;
        }
        write!(
            f,
            "weighted share of targets met: {:.2}",
            self.weighted_score
        )
    }
}

impl fmt::Display for Figure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.bound {
            Bound::AtMost => "<=",
            Bound::AtLeast => ">=",
        };
        let target = self
            .target
            .map_or_else(|| "-".to_owned(), |target| format!("{sign} {target}"));
        let met = match (self.target, self.met) {
            (None, _) => "-",
            (_, true) => "yes",
            (_, false) => "NO",
        };
        let name = format!("{} [{}]", self.name, self.unit);
        write!(
            f,
            "{:<13} {name:<58} {target:>12} {:>12} {:>12}  {met}",
            self.experiment,
            value(self.baseline),
            value(self.current),
        )
    }
}

fn value(value: Option<f64>) -> String {
    value.map_or_else(|| "none".to_owned(), |value| format!("{value:.3}"))
}
