//! Tables on the terminal.

/// Rows of cells under a header.
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with the names of its columns.
    pub fn new(header: &[&str]) -> Self {
        Self { rows: vec![header.iter().map(|name| (*name).to_owned()).collect()] }
    }

    /// Adds a row.
    pub fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// Prints the table with aligned columns.
    pub fn print(&self) {
        let columns = self.rows[0].len();
        let widest = |column: usize| {
            let lengths = self.rows.iter().filter_map(|row| row.get(column));
            lengths.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(widest).collect();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
            println!("{}", cells.collect::<Vec<_>>().join("  ").trim_end());
        }
    }
}
