//! Formats JSON objects as tables for the terminal.

use serde_json::Value;

/// Heading of a column, and path of its value in a row, with `.` between the keys.
pub(crate) type Column = (&'static str, &'static str);

/// Renders rows as a table. Columns are padded with spaces to their widest cell.
pub(crate) fn render(columns: &[Column], rows: &[Value]) -> String {
    let mut lines =
        vec![columns.iter().map(|(heading, _)| (*heading).to_owned()).collect::<Vec<_>>()];
    lines.extend(rows.iter().map(|row| columns.iter().map(|(_, path)| cell(row, path)).collect()));
    let widths: Vec<usize> = (0..columns.len())
        .map(|index| lines.iter().map(|line| line[index].chars().count()).max().unwrap_or(0))
        .collect();
    let mut text = String::new();
    for line in lines {
        let cells = line.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        text.push_str(cells.collect::<Vec<_>>().join("  ").trim_end());
        text.push('\n');
    }
    text
}

/// Returns the text of one cell; `-` if the row has no such value.
fn cell(row: &Value, path: &str) -> String {
    let value = path.split('.').fold(row, |value, key| &value[key]);
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Bool(flag) => if *flag { "yes" } else { "no" }.into(),
        Value::Array(items) => {
            let items: Vec<String> =
                items.iter().map(|item| item.to_string().replace('"', "")).collect();
            items.join(",")
        }
        value => value.to_string(),
    }
}

/// Turns a JSON object of named objects into rows; the key becomes the field `name`.
pub(crate) fn named_rows(objects: &Value) -> Vec<Value> {
    let objects = objects.as_object().into_iter().flatten();
    objects
        .map(|(name, object)| {
            let mut row = object.clone();
            row["name"] = Value::String(name.clone());
            row
        })
        .collect()
}
