#include <CLI/CLI.hpp>

#include <backend_server.hpp>
#include <latency_probe.hpp>
#include <load/load_command.hpp>
#include <platform_server.hpp>

int main(int argc, char **argv)
{
    CLI::App app{"Small stand-ins for the systems around the daemons; for tests only."};
    app.require_subcommand(1);

    standin::BackendOptions backendOptions;
    CLI::App *const backend = app.add_subcommand("backend", "A backend server that holds slots, makes its declared inner calls and can be told to misbehave.");
    backend->add_option("--port", backendOptions.port, "Port to listen on")->required();
    backend->add_option("--daemon", backendOptions.daemonUrl, "Base URL of the daemon beside it")->required();
    backend->add_option("--service", backendOptions.service, "Service that it serves")->required();
    backend->add_option("--manifest", backendOptions.manifestPath, "Manifest with its kinds")->required();
    backend->add_option("--slots", backendOptions.slots, "Slots; by default those of the manifest");
    backend->add_option("--seed", backendOptions.seed, "Seed of its random choices");
    backend->footer(
        "Example: egretlatch-standin backend --port 9000 --daemon http://127.0.0.1:8000 --service launch-log --manifest examples/gliding-union.json");

    standin::PlatformOptions platformOptions;
    CLI::App *const platform = app.add_subcommand("platform", "A transactional table and an object store in memory that can be told to misbehave.");
    platform->add_option("--port", platformOptions.port, "Port to listen on")->required();
    platform->add_option("--token-file", platformOptions.tokenFile, "File with the bearer token to ask for; by default none");
    platform->add_option("--seed", platformOptions.seed, "Seed of its random choices");
    platform->footer("Example: egretlatch-standin platform --port 9500");

    standin::load::LoadOptions loadOptions;
    CLI::App *const load = app.add_subcommand("load", "Callers that send at intended times, resend and cancel, and count what they were answered.");
    load->add_option("--scenario", loadOptions.scenarioPath, "Scenario to run")->required();
    load->add_option("--mesh", loadOptions.meshPath, "File with the line that scripts/mesh prints")->required();
    load->add_option("--out", loadOptions.outPath, "File for the result")->required();
    load->add_option("--manifest", loadOptions.manifestPath, "Manifest in force; by default the one that the mesh names");
    load->add_option("--history", loadOptions.historyPath, "File for one line an attempt");
    load->add_option("--seed", loadOptions.seed, "Seed in place of the scenario's");
    load->add_option("--workers", loadOptions.workers, "Threads")->check(CLI::Range(1, 16));
    load->add_option("--start-at", loadOptions.startAtMs, "Calendar time of the start, in milliseconds since 1970");
    load->footer("Example: egretlatch-standin load --scenario scenarios/gliding-union-surge-5x.json --mesh mesh.json --out result.json");

    standin::ProbeOptions probeOptions;
    CLI::App *const probe = app.add_subcommand("probe", "Measure the time of one request at a fixed rate.");
    probe->add_option("--port", probeOptions.port, "Port to send to")->required();
    probe->add_option("--path", probeOptions.path, "Path of the request")->required();
    probe->add_option("--kind", probeOptions.kind, "Egretlatch-Kind header, where a backend server is asked directly");
    probe->add_option("--rate", probeOptions.rate, "Requests a second")->required()->check(CLI::Range(1, 100000));
    probe->add_option("--seconds", probeOptions.seconds, "Length of the run")->required()->check(CLI::Range(1, 120));
    probe->add_option("--connections", probeOptions.connections, "Connections")->check(CLI::Range(1, 1000));
    probe->footer("Example: egretlatch-standin probe --port 8000 --path /call/echo/fast/ --rate 500 --seconds 4");

    CLI11_PARSE(app, argc, argv);
    if (load->parsed()) {
        return standin::load::runLoad(loadOptions);
    }
    if (backend->parsed()) {
        return standin::runBackend(backendOptions, argc, argv);
    }
    if (probe->parsed()) {
        return standin::runProbe(probeOptions);
    }
    if (platform->parsed()) {
        return standin::runPlatform(platformOptions, argc, argv);
    }
    return 0;
}
