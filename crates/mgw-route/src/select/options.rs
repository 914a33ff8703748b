//! Parameters of target selection.

use std::time::Duration;

use crate::prefix;

/// How a target is chosen among the available ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Lowest estimated wait, reduced by the prefill time that cached prefix blocks save.
    #[default]
    EstimatedWait,
    /// Uniformly at random; a baseline for measurements.
    Random,
    /// Fewest requests of this entry in flight; a baseline for measurements.
    LeastConnections,
}

/// Parameters of target selection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// How a target is chosen.
    pub policy: Policy,
    /// Age over which the weight of a load report falls linearly from one to zero. The missing
    /// weight goes to the mean occupancy of the candidates.
    pub load_decay: Duration,
    /// Assumed duration of a request at a target for which no duration was measured yet.
    pub default_duration: Duration,
    /// Additional wait in a full batch compared to an empty one, as larger batches generate more
    /// slowly.
    pub full_batch_cost: Duration,
    /// Prefill time that each cached prefix block saves.
    pub prefill_per_block: Duration,
    /// Upper bound of the prefill time that a cached prefix is assumed to save.
    pub max_prefix_bonus: Duration,
    /// A more distant zone is used if its wait is shorter by more than this.
    pub spillover_margin: Duration,
    /// Size and entry lifetime of the prefix table.
    pub prefix: prefix::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            policy: Policy::EstimatedWait,
            load_decay: Duration::from_secs(2),
            default_duration: Duration::from_secs(2),
            full_batch_cost: Duration::from_millis(40),
            prefill_per_block: Duration::from_millis(8),
            max_prefix_bonus: Duration::from_millis(250),
            spillover_margin: Duration::from_millis(60),
            prefix: prefix::Options::default(),
        }
    }
}
