fn main() -> eyre::Result<std::process::ExitCode> {
    cornellink::load::run()
}
