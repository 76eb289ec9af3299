//! Least-squares fit over a few variables.

/// A fitted linear function, `y = sum of slope * x`.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LinearFit {
    /// One slope per variable, in the order of the variables.
    pub(super) slopes: Vec<f64>,
    /// The root mean square of the differences between measured and fitted values.
    pub(super) rms_error: f64,
    /// The largest absolute difference.
    pub(super) worst_error: f64,
}

impl LinearFit {
    /// Fits the variables of the rows to their values with the normal equations. Returns `None` if
    /// the rows cannot separate the variables.
    pub(super) fn new(rows: &[(Vec<f64>, f64)]) -> Option<Self> {
        let count = rows.first()?.0.len();
        let mut matrix = vec![vec![0.0; count + 1]; count];
        for (variables, value) in rows {
            for (line, left) in matrix.iter_mut().zip(variables) {
                for (cell, right) in line.iter_mut().zip(variables.iter().chain([value])) {
                    *cell += left * right;
                }
            }
        }
        let slopes = solve(matrix)?;
        let differences: Vec<f64> = rows
            .iter()
            .map(|(variables, value)| {
                let fitted: f64 = variables.iter().zip(&slopes).map(|(x, slope)| x * slope).sum();
                (value - fitted).abs()
            })
            .collect();
        #[expect(clippy::cast_precision_loss, reason = "a few rows")]
        let mean_square = differences.iter().map(|d| d * d).sum::<f64>() / rows.len() as f64;
        let worst_error = differences.iter().copied().fold(0.0, f64::max);
        Some(Self { slopes, rms_error: mean_square.sqrt(), worst_error })
    }
}

/// Solves a system of linear equations by Gauss-Jordan elimination with partial pivoting. Returns
/// `None` if the matrix is singular.
fn solve(mut matrix: Vec<Vec<f64>>) -> Option<Vec<f64>> {
    const SINGULAR: f64 = 1e-9;
    let count = matrix.len();
    for column in 0..count {
        let pivot = (column..count)
            .max_by(|a, b| matrix[*a][column].abs().total_cmp(&matrix[*b][column].abs()))?;
        matrix.swap(column, pivot);
        if matrix[column][column].abs() < SINGULAR {
            return None;
        }
        let line = matrix[column].clone();
        for (row, other) in matrix.iter_mut().enumerate() {
            if row == column {
                continue;
            }
            let factor = other[column] / line[column];
            for (cell, pivot_cell) in other.iter_mut().zip(&line) {
                *cell -= factor * pivot_cell;
            }
        }
    }
    Some((0..count).map(|row| matrix[row][count] / matrix[row][row]).collect())
}
