//! How large a configuration may be: what is accepted must pass through everything behind.

use postcard::ser_flavors::Size;
use thiserror::Error;

use super::{ChangeRequest, PolicyPlan};

/// The most bytes of a sheet as the operator sends it; all other limits of size follow from it.
///
/// 14,000 routes of 240 bytes fit, with room for their services.
pub const SHEET_LIMIT: usize = 4 << 20;

/// The fewest bytes of a sheet that a row of the plan stands for, on average.
const SHEET_ROW_BYTES: usize = 128;

/// The most rows of a checked plan, and the most pools.
pub const PLAN_ROW_LIMIT: usize = SHEET_LIMIT / SHEET_ROW_BYTES;

/// The most bytes of a checked plan, encoded. A split route has a row for each of its pools, so a
/// sheet within its limit may have a plan that is not.
pub const PLAN_BYTES_LIMIT: usize = SHEET_LIMIT;

/// Room for a change's names and edits, and for what packing adds to what cannot be made smaller.
const ENVELOPE_BYTES: usize = 128 << 10;

/// The most bytes that a change takes in the log, or a question with it or an answer with what is
/// in force on its way, before and after packing.
pub const CHANGE_BYTES_LIMIT: usize = SHEET_LIMIT + PLAN_BYTES_LIMIT + ENVELOPE_BYTES;

/// Why a configuration is too large.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SizeFault {
    /// Its sheet is.
    #[error("the configuration has {0} bytes; at most {SHEET_LIMIT}")]
    Sheet(usize),
    /// Its plan has too many rows.
    #[error(
        "the configuration has {0} rows, one for each service of a route; at most {PLAN_ROW_LIMIT}"
    )]
    Rows(usize),
    /// It names too many pools.
    #[error("the configuration has {0} services; at most {PLAN_ROW_LIMIT}")]
    Pools(usize),
    /// Its plan takes too many bytes.
    #[error("the configuration's plan takes {0} bytes; at most {PLAN_BYTES_LIMIT}")]
    Plan(usize),
}

impl SizeFault {
    /// Looks for what is too large about a change.
    ///
    /// # Errors
    /// If it is: what fits no frame would be put into the log, never committed, and hold it up.
    pub fn check(request: &ChangeRequest) -> Result<(), Self> {
        let (rows, pools) = (request.plan.kinds.len(), request.plan.pools.len());
        if request.sheet.len() > SHEET_LIMIT {
            return Err(Self::Sheet(request.sheet.len()));
        }
        if rows > PLAN_ROW_LIMIT {
            return Err(Self::Rows(rows));
        }
        if pools > PLAN_ROW_LIMIT {
            return Err(Self::Pools(pools));
        }
        match encoded_bytes(&request.plan) {
            bytes if bytes > PLAN_BYTES_LIMIT => Err(Self::Plan(bytes)),
            _ => Ok(()),
        }
    }
}

fn encoded_bytes(plan: &PolicyPlan) -> usize {
    postcard::serialize_with_flavor(plan, Size::default()).unwrap_or(usize::MAX)
}
