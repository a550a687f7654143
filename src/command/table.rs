//! Prints tables to standard output.

/// A table with left-aligned columns; the first row is the header.
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with the given column names.
    pub fn new(header: &[&str]) -> Self {
        Self { rows: vec![header.iter().map(|name| (*name).to_owned()).collect()] }
    }

    pub fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    pub fn print(&self) {
        let columns = self.rows[0].len();
        let max_width = |column: usize| {
            let lengths = self.rows.iter().filter_map(|row| row.get(column));
            lengths.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(max_width).collect();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
            println!("{}", cells.collect::<Vec<_>>().join("  ").trim_end());
        }
    }
}
