//! Rows of the table of results.

const TARGET_NODES: f64 = 780.0;

/// Results of one fleet size.
pub(crate) struct Row {
    pub(crate) nodes: usize,
    pub(crate) join_s: f64,
    pub(crate) join_kb: f64,
    pub(crate) steady_bytes_per_s: f64,
    pub(crate) steady_cpu_percent: f64,
    pub(crate) leave_s: f64,
    pub(crate) leave_kb: f64,
    pub(crate) heal_s: f64,
    pub(crate) heal_kb: f64,
    pub(crate) restart_s: f64,
    pub(crate) death_s: f64,
    pub(crate) memory_kb: f64,
}

/// Returns the values at the target size of the least-squares lines through the rows.
pub(crate) fn extrapolated(rows: &[Row]) -> Row {
    let at_target = |value: fn(&Row) -> f64| {
        let count = rows.len() as f64;
        let mean_x = rows.iter().map(|row| row.nodes as f64).sum::<f64>() / count;
        let mean_y = rows.iter().map(value).sum::<f64>() / count;
        let shift = |row: &Row| row.nodes as f64 - mean_x;
        let covariance: f64 = rows
            .iter()
            .map(|row| shift(row) * (value(row) - mean_y))
            .sum();
        let variance: f64 = rows.iter().map(|row| shift(row).powi(2)).sum();
        mean_y + covariance / variance * (TARGET_NODES - mean_x)
    };
    Row {
        nodes: TARGET_NODES as usize,
        join_s: at_target(|row| row.join_s),
        join_kb: at_target(|row| row.join_kb),
        steady_bytes_per_s: at_target(|row| row.steady_bytes_per_s),
        steady_cpu_percent: at_target(|row| row.steady_cpu_percent),
        leave_s: at_target(|row| row.leave_s),
        leave_kb: at_target(|row| row.leave_kb),
        heal_s: at_target(|row| row.heal_s),
        heal_kb: at_target(|row| row.heal_kb),
        restart_s: at_target(|row| row.restart_s),
        death_s: at_target(|row| row.death_s),
        memory_kb: at_target(|row| row.memory_kb),
    }
}

/// Prints a row under the header of the table.
pub(crate) fn print_row(label: &str, row: &Row) {
    println!(
        "| {label} | {:.1} | {:.0} | {:.0} | {:.3} | {:.2} | {:.1} | {:.2} | {:.0} | {:.2} | {:.1} | {:.0} |",
        row.join_s,
        row.join_kb,
        row.steady_bytes_per_s,
        row.steady_cpu_percent,
        row.leave_s,
        row.leave_kb,
        row.heal_s,
        row.heal_kb,
        row.restart_s,
        row.death_s,
        row.memory_kb,
    );
}
