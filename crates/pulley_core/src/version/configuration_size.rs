//! Size limits of a configuration. An accepted one must fit the log and messages between hosts.

use postcard::ser_flavors::Size;
use thiserror::Error;

use super::{ChangeRequest, PolicyPlan};

/// Maximum size of a sheet as the operator sends it, in bytes. All other size limits follow from
/// this one.
///
/// 14,000 routes of 240 bytes fit, with room for their services.
pub const SHEET_LIMIT: usize = 4 << 20;

/// Minimum average number of sheet bytes per row of the plan.
const MIN_SHEET_ROW_BYTES: usize = 128;

/// Maximum number of rows, and of pools, in a plan.
pub const PLAN_ROW_LIMIT: usize = SHEET_LIMIT / MIN_SHEET_ROW_BYTES;

/// Maximum size of an encoded plan, in bytes. A split route has a row for each of its pools, so the
/// plan of a sheet within its limit may still exceed this one.
pub const PLAN_BYTES_LIMIT: usize = SHEET_LIMIT;

/// Extra bytes for a change's names and edits, and for what compression adds to incompressible
/// data.
const CHANGE_OVERHEAD_BYTES: usize = 128 << 10;

/// Maximum size of a change in the log, and of a question or an answer that carries a
/// configuration, in bytes. It holds before and after compression.
pub const CHANGE_BYTES_LIMIT: usize = SHEET_LIMIT + PLAN_BYTES_LIMIT + CHANGE_OVERHEAD_BYTES;

/// Why a configuration is too large.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SizeFault {
    /// The sheet has too many bytes.
    #[error("the configuration has {0} bytes; at most {SHEET_LIMIT}")]
    Sheet(usize),
    /// The plan has too many rows.
    #[error(
        "the configuration has {0} rows, one for each service of a route; at most {PLAN_ROW_LIMIT}"
    )]
    Rows(usize),
    /// The plan has too many pools.
    #[error("the configuration has {0} services; at most {PLAN_ROW_LIMIT}")]
    Pools(usize),
    /// The plan has too many organisations.
    #[error("the configuration has {0} organisations; at most {PLAN_ROW_LIMIT}")]
    Organisations(usize),
    /// The encoded plan has too many bytes.
    #[error("the configuration's plan takes {0} bytes; at most {PLAN_BYTES_LIMIT}")]
    Plan(usize),
}

impl SizeFault {
    /// Checks a change against the size limits.
    ///
    /// # Errors
    /// If a limit is exceeded. A change that fits into no frame would be appended to the log but
    /// never committed, and would block the entries after it.
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
        let organisations = request.plan.organisations.len();
        if organisations > PLAN_ROW_LIMIT {
            return Err(Self::Organisations(organisations));
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
