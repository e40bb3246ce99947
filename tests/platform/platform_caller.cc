// A caller of gateways, for tests with real processes that are killed at any moment.
//
//   platform_caller write FILE SECONDS PORT...   has conversations and spends budgets; notes each
//                                                turn that was answered whole, each token it got
//   platform_caller verify FILE SECONDS PORT...  goes on from each noted turn, and checks that no
//                                                program gets more than its budget; within SECONDS
//   platform_caller fill FILE SECONDS PORT...    takes large turns until the storage nodes have no
//                                                room, or FILE.end is there; checks that such a
//                                                turn is refused as not run
//
// FILE has a line "turn ID PARENT OUTPUT" for each turn, OUTPUT with '|' for line feeds, and
// "tokens PROGRAM COUNT" for each answer that held any. Exit status 0: nothing was wrong.
#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

constexpr uint64_t budget = 400;
constexpr uint64_t most = 40;
constexpr uint64_t tokens_per_event = 5;
constexpr int programs = 8;
constexpr size_t large_input = 100000;

struct Turn {
    std::string parent;
    std::string output;
};

struct Answer {
    int status = 0;
    bool whole = false;
    std::string body;
};

std::map<std::string, Turn> turns;
std::map<std::string, uint64_t> handed;
std::mt19937_64 engine(std::random_device{}());

void load(const std::string &path) {
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        std::istringstream words(line);
        std::string kind, name, second, output;
        words >> kind >> name >> second >> output;
        if (kind == "turn") {
            std::replace(output.begin(), output.end(), '|', '\n');
            turns[name] = {second == "-" ? "" : second, output};
        } else if (kind == "tokens") {
            handed[name] += std::stoull(second);
        }
    }
}

// Undoes chunked framing; whole is set once the last chunk was there.
void read_chunks(const std::string &raw, Answer &answer) {
    size_t position = 0;
    for (;;) {
        size_t end = raw.find("\r\n", position);
        if (end == std::string::npos)
            return;
        size_t size = std::stoul(raw.substr(position, end - position), nullptr, 16);
        if (raw.size() < end + 2 + size + 2)
            return;
        if (size == 0) {
            answer.whole = true;
            return;
        }
        answer.body += raw.substr(end + 2, size);
        position = end + 2 + size + 2;
    }
}

Answer call(int port, const std::string &path, const std::string &fields, const std::string &body) {
    Answer answer;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    timeval patience{4, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0) {
        std::string request = "POST " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" +
                              fields + "Content-Length: " + std::to_string(body.size()) +
                              "\r\n\r\n" + body;
        (void)!send(fd, request.data(), request.size(), MSG_NOSIGNAL);
        std::string raw;
        char buffer[65536];
        for (ssize_t count; (count = recv(fd, buffer, sizeof buffer, 0)) > 0;)
            raw.append(buffer, static_cast<size_t>(count));
        size_t head = raw.find("\r\n\r\n");
        if (head != std::string::npos) {
            answer.status = std::atoi(raw.c_str() + strlen("HTTP/1.1 "));
            std::string rest = raw.substr(head + 4);
            if (raw.substr(0, head).find("chunked") != std::string::npos) {
                read_chunks(rest, answer);
            } else {
                answer.body = rest;
                answer.whole = true;
            }
        }
    }
    close(fd);
    return answer;
}

std::string new_id() {
    char text[32];
    snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(engine()));
    return text;
}

// The body that an engine must get for a turn after those before it.
std::string chain_of(const std::string &id) {
    if (id.empty())
        return "";
    const Turn &turn = turns.at(id);
    return chain_of(turn.parent) + "input of " + id + "\n" + turn.output;
}

struct TurnResult {
    Answer answer;
    std::string id;
    std::string output;
    uint64_t events = 0;
    bool right_prompt = true;
};

TurnResult take_turn(int port, const std::string &program, const std::string &parent,
                     size_t padding = 0) {
    TurnResult result;
    result.id = new_id();
    std::string fields = "Attempt-Id: " + result.id + "\r\nProgram-Id: " + program +
                         "\r\nSession-Id: s\r\nDeadline-Milliseconds: 4000\r\nToken-Budget: " +
                         std::to_string(budget) + "\r\nToken-Counts: 10," + std::to_string(most) +
                         "\r\n";
    if (!parent.empty())
        fields += "Previous-Turn: " + parent + "\r\n";
    std::string input = "input of " + result.id + std::string(padding, '.') + "\n";
    result.answer = call(port, "/turns/x", fields, input);
    std::string prompt = chain_of(parent) + input;
    char hash[32];
    snprintf(hash, sizeof hash, "%016llx",
             static_cast<unsigned long long>(XXH64(prompt.data(), prompt.size(), 0)));
    std::istringstream lines(result.answer.body);
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind("data: ", 0) != 0)
            continue;
        result.events++;
        result.output += line.substr(6) + "\n";
        result.right_prompt = result.right_prompt && line.compare(6, 16, hash) == 0;
    }
    return result;
}

int wrong(const std::string &what) {
    std::cerr << what << "\n";
    return EXIT_FAILURE;
}

std::string random_turn() {
    if (turns.empty() || engine() % 4 == 0)
        return "";
    auto item = turns.begin();
    std::advance(item, static_cast<long>(engine() % turns.size()));
    return item->first;
}

int write_turns(const std::string &path, double seconds, const std::vector<int> &ports) {
    std::ofstream file(path, std::ios::app);
    auto until = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
    const std::string run = "program-" + new_id() + "-";
    while (std::chrono::steady_clock::now() < until) {
        std::string program = run + std::to_string(engine() % programs);
        std::string parent = random_turn();
        TurnResult result = take_turn(ports[engine() % ports.size()], program, parent);
        handed[program] += result.events * tokens_per_event;
        if (result.events > 0)
            file << "tokens " << program << " " << result.events * tokens_per_event << std::endl;
        if (handed[program] > budget)
            return wrong(program + " got " + std::to_string(handed[program]));
        if (!result.right_prompt)
            return wrong("wrong prompt after " + parent);
        if (result.answer.status == 404)
            return wrong("no such turn: " + parent);
        if (result.answer.status != 200 || !result.answer.whole) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
            continue;
        }
        turns[result.id] = {parent, result.output};
        std::string output = result.output;
        std::replace(output.begin(), output.end(), '\n', '|');
        file << "turn " << result.id << " " << (parent.empty() ? "-" : parent) << " " << output
             << std::endl;
    }
    return EXIT_SUCCESS;
}

int verify_turns(double seconds, const std::vector<int> &ports) {
    auto until = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
    unsigned number = 0;
    for (const auto &[id, turn] : turns) {
        for (;;) {
            std::string program = "check-" + std::to_string(number++) + "-" + new_id();
            TurnResult result = take_turn(ports[number % ports.size()], program, id);
            if (result.answer.status == 404)
                return wrong("no such turn: " + id);
            if (!result.right_prompt)
                return wrong("wrong prompt after " + id);
            if (result.answer.status == 200 && result.answer.whole)
                break;
            if (std::chrono::steady_clock::now() > until)
                return wrong("not readable in time: " + id);
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }
    for (auto &[program, tokens] : handed) {
        for (int refused = 0; refused < 3;) {
            TurnResult result = take_turn(ports[engine() % ports.size()], program, std::string());
            tokens += result.events * tokens_per_event;
            refused += result.answer.status == 402;
            if (tokens > budget)
                return wrong(program + " got " + std::to_string(tokens));
            if (std::chrono::steady_clock::now() > until)
                return wrong("no word on the budget in time: " + program);
        }
    }
    std::cout << turns.size() << " turns, " << handed.size() << " budgets\n";
    return EXIT_SUCCESS;
}

int fill_room(const std::string &file, double seconds, const std::vector<int> &ports) {
    auto until = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
    unsigned kept = 0;
    while (std::chrono::steady_clock::now() < until && !std::ifstream(file + ".end")) {
        TurnResult result =
            take_turn(ports[kept % ports.size()], "program-" + new_id(), "", large_input);
        if (result.answer.status == 200 && !result.answer.whole)
            return wrong("a turn was run and not kept, after " + std::to_string(kept));
        if (result.answer.status == 503 && kept > 0) {
            std::cout << "refused after " << kept << " turns\n";
            return EXIT_SUCCESS;
        }
        kept += result.answer.status == 200;
    }
    return wrong("never refused; " + std::to_string(kept) + " turns were kept");
}

} // namespace

int main(int argc, char **argv) {
    if (argc < 5)
        return wrong("usage: platform_caller write|verify|fill FILE SECONDS PORT...");
    load(argv[2]);
    std::vector<int> ports;
    for (int i = 4; i < argc; i++)
        ports.push_back(std::atoi(argv[i]));
    if (strcmp(argv[1], "fill") == 0)
        return fill_room(argv[2], std::atof(argv[3]), ports);
    bool write = strcmp(argv[1], "write") == 0;
    return write ? write_turns(argv[2], std::atof(argv[3]), ports)
                 : verify_turns(std::atof(argv[3]), ports);
}
