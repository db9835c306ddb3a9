//! Text form of reports: two lines per figure, at most 80 columns wide.

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
        let mut experiment = "";
        for figure in &self.figures {
            if figure.experiment != experiment {
                experiment = figure.experiment;
                writeln!(f, "\n{experiment}")?;
            }
            writeln!(f, "{figure}")?;
        }
        writeln!(f)?;
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
            (None, _) => "",
            (_, true) => "  met",
            (_, false) => "  MISSED",
        };
        writeln!(f, "  {} [{}]", self.name, self.unit)?;
        write!(
            f,
            "    target {target:>8}  baseline {:>10}  current {:>10}{met}",
            value(self.baseline),
            value(self.current),
        )
    }
}

fn value(value: Option<f64>) -> String {
    value.map_or_else(|| "none".to_owned(), |value| format!("{value:.3}"))
}
