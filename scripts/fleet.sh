# Functions that start and stop a small fleet on loopback: the platform, three engines, one plain
# service and three daemons. scripts/demo and scripts/prove source it.
#
# FLEET_BASE  first of the ports: platform BASE, engines BASE+101.., service BASE+121,
#             daemon I: callers BASE+10*I, admin BASE+10*I+1, peers BASE+10*I+2
# FLEET_DIR   a directory for settings, logs and pid files
# FLEET_BUILD the build directory with the programs

FLEET_BASE=${FLEET_BASE:-7000}
FLEET_BUILD=${FLEET_BUILD:-build/dev}
fleet_daemons=(1 2 3)
fleet_zones=(brno-hall-a brno-hall-b olomouc-hall)
export WHINYARD_PEER_KEY=${WHINYARD_PEER_KEY:-sample-peer-key-of-the-demo}
export WHINYARD_SESSION_KEY=${WHINYARD_SESSION_KEY:-sample-session-key-of-the-demo}

fleet_platform() { echo "127.0.0.1:$FLEET_BASE"; }
fleet_engine() { echo "127.0.0.1:$((FLEET_BASE + 100 + $1))"; }
fleet_service() { echo "127.0.0.1:$((FLEET_BASE + 121))"; }
fleet_callers() { echo "127.0.0.1:$((FLEET_BASE + 10 * $1))"; }
fleet_admin() { echo "127.0.0.1:$((FLEET_BASE + 10 * $1 + 1))"; }
fleet_peers() { echo "127.0.0.1:$((FLEET_BASE + 10 * $1 + 2))"; }

# Starts a program in the background and keeps its pid under a name.
fleet_spawn() { # NAME PROGRAM ARGUMENT...
    local name=$1
    shift
    "$@" >>"$FLEET_DIR/$name.log" 2>&1 &
    echo $! >"$FLEET_DIR/$name.pid"
    disown $!
}

fleet_pid() { cat "$FLEET_DIR/$1.pid"; }

# Sends a signal to one process of the fleet.
fleet_signal() { # NAME SIGNAL
    kill "-$2" "$(fleet_pid "$1")" 2>/dev/null || true
}

# Waits until a URL answers 200, at most 30 seconds.
fleet_wait() { # URL
    local tries
    for ((tries = 0; tries < 300; tries++)); do
        curl -fs -m 2 -o /dev/null "$1" && return 0
        sleep 0.1
    done
    echo "fleet: $1 did not become ready" >&2
    return 1
}

fleet_seeds() { # OWN NUMBER
    local other seeds=()
    for other in "${fleet_daemons[@]}"; do
        [ "$other" = "$1" ] || seeds+=("{ \"name\": \"entry-$other\", \"zone\": \"${fleet_zones[other - 1]}\", \"peers\": \"$(fleet_peers "$other")\" }")
    done
    local IFS=,
    echo "${seeds[*]}"
}

fleet_write_settings() { # NUMBER
    cat >"$FLEET_DIR/entry-$1.json" <<SETTINGS
{
  "instance": "entry-$1",
  "zone": "${fleet_zones[$1 - 1]}",
  "region": "cz-moravia",
  "callers": "$(fleet_callers "$1")",
  "admin": "$(fleet_admin "$1")",
  "peers": "$(fleet_peers "$1")",
  "platform": "$(fleet_platform)",
  "seeds": [ $(fleet_seeds "$1") ],
  "peerKeys": [ { "number": 1, "environment": "WHINYARD_PEER_KEY" } ],
  "sessionKeys": [ { "number": 1, "environment": "WHINYARD_SESSION_KEY" } ],
  "operatorsFile": "samples/1-praxeo/operators.json"
}
SETTINGS
}

fleet_start_daemon() { # NUMBER
    [ -f "$FLEET_DIR/entry-$1.json" ] || fleet_write_settings "$1"
    fleet_spawn "entry-$1" "$FLEET_BUILD/apps/whinyardd/whinyardd" --settings "$FLEET_DIR/entry-$1.json"
}

fleet_list_entry() { # NAME KIND ADDRESS ZONE VERSIONS SERVICE
    printf '{"name":"%s","kind":"%s","address":"%s","zone":"%s","versions":[%s],"service":"%s","leaving":false}' "$@"
}

# Starts the platform, engines and the service, and tells the platform which endpoints and instances there are.
fleet_start_platform() {
    fleet_spawn platform "$FLEET_BUILD/standins/whinyard_platform_standin" --listen "$(fleet_platform)"
    fleet_wait "http://$(fleet_platform)/healthz"
    local number daemon entries=()
    for number in 1 2 3; do
        fleet_spawn "engine-$number" "$FLEET_BUILD/standins/whinyard_engine_standin" --listen "$(fleet_engine "$number")" --step-ms 4
        fleet_wait "http://$(fleet_engine "$number")/healthz"
        entries+=("$(fleet_list_entry "engine-$number" engine "$(fleet_engine "$number")" "${fleet_zones[number - 1]}" '"lm-small-1","lm-medium-1","lm-large-1","lm-large-2"' "")")
    done
    fleet_spawn placement-1 "$FLEET_BUILD/standins/whinyard_service_standin" --listen "$(fleet_service)"
    fleet_wait "http://$(fleet_service)/healthz"
    entries+=("$(fleet_list_entry placement-1 service "$(fleet_service)" brno-hall-a "" placement)")
    for daemon in "${fleet_daemons[@]}"; do
        entries+=("$(fleet_list_entry "entry-$daemon" instance "$(fleet_peers "$daemon")" "${fleet_zones[daemon - 1]}" "" "")")
    done
    local IFS=,
    fleet_control "$(fleet_platform)" instances "{\"instances\":[${entries[*]}]}"
    fleet_control "$(fleet_platform)" quality '{"lm-small-1":0.6,"lm-medium-1":0.85,"lm-large-1":0.97,"lm-large-2":0.97}'
}

# Sends an order to a stand-in's control path.
fleet_control() { # ADDRESS PATH BODY
    curl -fsS -m 5 -o /dev/null -X POST -H 'Content-Type: application/json' -d "$3" "http://$1/control/$2"
}

# Starts the whole fleet, applies the sample configuration and waits until every daemon is ready.
fleet_start() {
    local daemon
    fleet_start_platform
    for daemon in "${fleet_daemons[@]}"; do
        fleet_start_daemon "$daemon"
    done
    for daemon in "${fleet_daemons[@]}"; do
        fleet_wait "http://$(fleet_admin "$daemon")/healthz"
    done
    fleet_whinyard config apply samples/1-praxeo/configuration.json
    for daemon in "${fleet_daemons[@]}"; do
        fleet_wait "http://$(fleet_admin "$daemon")/readyz"
    done
}

# Runs the command line as the sample operator against all daemons.
fleet_whinyard() {
    local daemon addresses=()
    for daemon in "${fleet_daemons[@]}"; do
        addresses+=("$(fleet_admin "$daemon")")
    done
    WHINYARD_OPERATOR=jana WHINYARD_OPERATOR_KEY=sample-operator-jana \
        "$FLEET_BUILD/apps/whinyard/whinyard" "$@" --admin "${addresses[@]}"
}

# Ends every process that was started here, by pid.
fleet_stop() {
    local file
    for file in "$FLEET_DIR"/*.pid; do
        [ -f "$file" ] || continue
        kill -CONT "$(cat "$file")" 2>/dev/null || true
        kill -TERM "$(cat "$file")" 2>/dev/null || true
    done
    for file in "$FLEET_DIR"/*.pid; do
        [ -f "$file" ] || continue
        fleet_await_end "$(cat "$file")"
    done
}

# Waits until a process has ended, at most 40 seconds, then kills it.
fleet_await_end() { # PID
    local tries
    for ((tries = 0; tries < 400; tries++)); do
        kill -0 "$1" 2>/dev/null || return 0
        sleep 0.1
    done
    echo "fleet: process $1 did not end and is killed" >&2
    kill -KILL "$1" 2>/dev/null || true
    return 1
}
