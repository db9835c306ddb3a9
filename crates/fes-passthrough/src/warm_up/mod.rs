//! Limit of new flows of targets that are warming up: its size, the shares of the entries, and the
//! count at the agent.

mod budget;
mod limit;
mod shares;

pub use budget::WarmUpBudget;
pub use limit::WarmUpSettings;
pub use shares::WarmUpRank;
pub use shares::WarmUpShares;
