//! Formats rows as aligned columns.

/// Aligns rows below a header; columns are two spaces apart.
pub fn align(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = cell.len().max(*width);
        }
    }
    let mut text = format_line(header.iter().copied(), &widths);
    for row in rows {
        text.push_str(&format_line(row.iter().map(String::as_str), &widths));
    }
    text
}

fn format_line<'a>(cells: impl Iterator<Item = &'a str>, widths: &[usize]) -> String {
    let padded = cells
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}"));
    let joined = padded.collect::<Vec<_>>().join("  ");
    format!("{}\n", joined.trim_end())
}
