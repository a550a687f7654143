fn main() -> eyre::Result<std::process::ExitCode> {
    cornellink::command::run()
}
