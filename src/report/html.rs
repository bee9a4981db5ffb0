//! A small page for a phone.

use crate::report::summary::{self, Exception, Report};

/// An HTML page without scripts or anything to load.
#[derive(Clone, Copy, Debug)]
pub struct Html;

const HEAD: &str = "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">\
    <meta name=\"viewport\" content=\"width=device-width\"><title>fescuebay report</title>\
    <style>body{font:16px sans-serif;margin:1em;max-width:32em}td{padding:.2em .5em .2em 0}\
    td+td{text-align:right}.bad{color:#b00;font-weight:bold}small{display:block}</style>";

impl super::Format for Html {
    fn content_type(&self) -> &'static str {
        "text/html; charset=utf-8"
    }

    fn render(&self, report: &Report) -> String {
        let mut page = HEAD.to_owned();
        let class = if report.is_good() { "" } else { " class=\"bad\"" };
        page.push_str(&format!("<h1>Last {}</h1>", report.span));
        page.push_str(&format!("<p{class}>{}</p>", escape(&report.headline())));
        promises(&mut page, report);
        work(&mut page, report);
        exceptions(&mut page, "Exceptions that end soon", &report.ending_soon, report.window.to_ms);
        exceptions(&mut page, "Other exceptions", &report.exceptions, report.window.to_ms);
        page.push_str("</html>\n");
        page
    }
}

fn promises(page: &mut String, report: &Report) {
    page.push_str("<table>");
    for line in &report.lines {
        let class = if line.breaches > 0 { " class=\"bad\"" } else { "" };
        let first = line.first.as_ref();
        let reason = first.map(|breach| format!("<small>{}</small>", escape(&breach.reason)));
        page.push_str(&format!(
            "<tr><td>{}{}</td><td{class}>{}</td></tr>",
            escape(&line.promise.to_string()),
            reason.unwrap_or_default(),
            line.verdict()
        ));
    }
    page.push_str("</table>");
}

fn work(page: &mut String, report: &Report) {
    page.push_str("<h2>Work</h2><table>");
    row(page, "answered", &report.answered.to_string());
    for refused in &report.refused {
        row(page, &format!("refused {}", refused.code), &refused.count.to_string());
    }
    for waited in &report.waits {
        let whose = format!("waited {} {}", waited.tenant, waited.class);
        row(page, &whose, &summary::length(waited.wait_ms));
    }
    row(page, "cold starts", &report.cold_starts.to_string());
    row(page, "longest cold start", &summary::length(report.longest_cold_start_ms));
    row(page, "idle accelerators", &summary::length(report.idle_accelerator_ms));
    row(page, "open jobs", &report.open_jobs.to_string());
    row(page, "calls that may have run", &report.unknown_calls.to_string());
    row(page, "requests closed as poison", &report.closed_digests.to_string());
    page.push_str("</table>");
}

fn exceptions(page: &mut String, title: &str, exceptions: &[Exception], now_ms: u64) {
    if exceptions.is_empty() {
        return;
    }
    page.push_str(&format!("<h2>{title}</h2><table>"));
    for exception in exceptions {
        let left = exception.until_ms.map(|at| summary::length(at.saturating_sub(now_ms)));
        page.push_str(&format!(
            "<tr><td>{}<small>{}</small></td><td>{}</td></tr>",
            escape(&exception.what),
            escape(&exception.reason),
            left.map(|left| format!("{left} left")).unwrap_or_default()
        ));
    }
    page.push_str("</table>");
}

fn row(page: &mut String, name: &str, value: &str) {
    page.push_str(&format!("<tr><td>{}</td><td>{}</td></tr>", escape(name), escape(value)));
}

fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for letter in text.chars() {
        match letter {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            letter => escaped.push(letter),
        }
    }
    escaped
}
