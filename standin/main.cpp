#include <CLI/CLI.hpp>

#include <backend_server.hpp>
#include <latency_probe.hpp>
#include <load/load_command.hpp>
#include <platform_server.hpp>

int main(int argc, char **argv)
{
    CLI::App app{"Simulators of the systems around the daemons, and load tools; for tests only."};
    app.require_subcommand(1);

    standin::BackendOptions backendOptions;
    CLI::App *const backend = app.add_subcommand("backend", "Simulate a backend server with slots, the declared inner calls and fault injection.");
    backend->add_option("--port", backendOptions.port, "Port to listen on")->required();
    backend->add_option("--daemon", backendOptions.daemonUrl, "Base URL of the daemon on the same VM")->required();
    backend->add_option("--service", backendOptions.service, "Service to serve")->required();
    backend->add_option("--manifest", backendOptions.manifestPath, "Manifest that declares the service")->required();
    backend->add_option("--slots", backendOptions.slots, "Number of slots; default: the number in the manifest");
    backend->add_option("--seed", backendOptions.seed, "Seed of the random number generator");
    backend->footer(
        "Example: egretlatch-standin backend --port 9000 --daemon http://127.0.0.1:8000 --service launch-log --manifest examples/gliding-union.json");

    standin::PlatformOptions platformOptions;
    CLI::App *const platform = app.add_subcommand("platform", "Simulate the platform: an in-memory transactional table and object store with fault injection.");
    platform->add_option("--port", platformOptions.port, "Port to listen on")->required();
    platform->add_option("--token-file", platformOptions.tokenFile, "File with the required bearer token; default: no authentication");
    platform->add_option("--seed", platformOptions.seed, "Seed of the random number generator");
    platform->footer("Example: egretlatch-standin platform --port 9500");

    standin::load::LoadOptions loadOptions;
    CLI::App *const load = app.add_subcommand("load", "Generate open-loop load with resends and cancellations, and count the outcomes.");
    load->add_option("--scenario", loadOptions.scenarioPath, "Scenario to run")->required();
    load->add_option("--mesh", loadOptions.meshPath, "File with the JSON line printed by scripts/mesh")->required();
    load->add_option("--out", loadOptions.outPath, "File for the result")->required();
    load->add_option("--manifest", loadOptions.manifestPath, "Manifest in force; default: the one named in the mesh file");
    load->add_option("--history", loadOptions.historyPath, "File for the history, one JSON line per attempt");
    load->add_option("--seed", loadOptions.seed, "Seed that overrides the one of the scenario");
    load->add_option("--workers", loadOptions.workers, "Threads")->check(CLI::Range(1, 16));
    load->add_option("--start-at", loadOptions.startAtMs, "Start time, in milliseconds since the Unix epoch");
    load->footer("Example: egretlatch-standin load --scenario scenarios/gliding-union-surge-5x.json --mesh mesh.json --out result.json");

    standin::ProbeOptions probeOptions;
    CLI::App *const probe = app.add_subcommand("probe", "Measure the latency of one request at a fixed rate.");
    probe->add_option("--port", probeOptions.port, "Port to send to")->required();
    probe->add_option("--path", probeOptions.path, "Path of the request")->required();
    probe->add_option("--kind", probeOptions.kind, "Egretlatch-Kind header, for requests sent directly to a backend server");
    probe->add_option("--rate", probeOptions.rate, "Requests per second")->required()->check(CLI::Range(1, 100000));
    probe->add_option("--seconds", probeOptions.seconds, "Duration of the run in seconds")->required()->check(CLI::Range(1, 120));
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
