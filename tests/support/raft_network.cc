#include "raft_network.h"

#include <gtest/gtest.h>

namespace {

void apply(void *state, uint64_t, uint64_t, GBytes *command) {
    size_t length;
    const char *text = static_cast<const char *>(g_bytes_get_data(command, &length));
    static_cast<Member *>(state)->applied.emplace_back(text, length);
}

GBytes *save(void *state) {
    std::string text;
    for (const std::string &command : static_cast<Member *>(state)->applied)
        text += command + "\n";
    return g_bytes_new(text.data(), text.size());
}

bool load(void *state, GBytes *snapshot) {
    Member *member = static_cast<Member *>(state);
    size_t length;
    const char *text = static_cast<const char *>(g_bytes_get_data(snapshot, &length));
    member->applied.clear();
    std::string command;
    for (size_t i = 0; i < length; i++) {
        if (text[i] != '\n') {
            command += text[i];
            continue;
        }
        member->applied.push_back(command);
        command.clear();
    }
    return true;
}

/** Messages are encoded and decoded on the way, so the codec is tested too. */
raft_message_t *copy_message(raft_message_t *message) {
    codec_t codec;
    codec_start_encoding(&codec);
    raft_message_codec(&codec, message);
    GBytes *bytes = codec_finish(&codec);
    size_t length;
    const void *data = g_bytes_get_data(bytes, &length);
    raft_message_t *copy = raft_message_new(RAFT_REQUEST_VOTE);
    codec_start_decoding(&codec, data, length);
    raft_message_codec(&codec, copy);
    EXPECT_TRUE(codec_complete(&codec));
    g_bytes_unref(bytes);
    return copy;
}

} // namespace

Member::~Member() {
    if (raft != nullptr)
        raft_free(raft);
}

raft_t *RaftNetwork::create(instance_id_t id, Member *member) {
    raft_state_machine_t machine = {apply, save, load, member};
    raft_options_t options = raft_default_options;
    options.log_entries_retained = 8;
    return raft_new(0, id, id * 7919 + random(), &options, &machine);
}

RaftNetwork::RaftNetwork(uint64_t seed, uint32_t voters) : random(seed) {
    raft_configuration_t configuration = {};
    for (uint32_t i = 0; i < voters; i++)
        configuration.voters[configuration.voter_count++] = add_member();
    for (auto &[id, member] : members) {
        raft_bootstrap(member->raft, &configuration);
        raft_leader_lost(member->raft, now_ms);
    }
}

RaftNetwork::~RaftNetwork() {
    for (auto &[time, message] : in_flight)
        raft_message_free(message);
}

instance_id_t RaftNetwork::add_member() {
    instance_id_t id = next_id++;
    auto member = std::make_unique<Member>();
    member->raft = create(id, member.get());
    members[id] = std::move(member);
    return id;
}

void RaftNetwork::flush(GPtrArray *output) {
    std::uniform_real_distribution<double> chance(0, 1);
    for (guint i = 0; i < output->len; i++) {
        raft_message_t *message = static_cast<raft_message_t *>(g_ptr_array_index(output, i));
        messages_sent++;
        int copies = chance(random) < loss ? 0 : (chance(random) < duplication ? 2 : 1);
        for (int copy = 0; copy < copies; copy++) {
            int64_t delay = 1 + static_cast<int64_t>(random() % delay_maximum_ms);
            in_flight.emplace(now_ms + delay, copy_message(message));
        }
        raft_message_free(message);
    }
    g_ptr_array_set_size(output, 0);
}

void RaftNetwork::run(int64_t milliseconds) {
    GPtrArray *output = g_ptr_array_new();
    for (int64_t end = now_ms + milliseconds; now_ms < end; now_ms++) {
        while (!in_flight.empty() && in_flight.begin()->first <= now_ms) {
            raft_message_t *message = in_flight.begin()->second;
            in_flight.erase(in_flight.begin());
            auto target = members.find(message->to);
            bool reaches = target != members.end() && !target->second->paused &&
                           cut.count({message->from, message->to}) == 0;
            if (reaches)
                raft_receive(target->second->raft, message, now_ms, output);
            raft_message_free(message);
            flush(output);
        }
        for (auto &[id, member] : members)
            if (!member->paused && now_ms % 10 == 0)
                raft_tick(member->raft, now_ms, output);
        flush(output);
    }
    g_ptr_array_unref(output);
}

instance_id_t RaftNetwork::leader() const {
    instance_id_t found = 0;
    uint64_t term = 0;
    for (const auto &[id, member] : members) {
        if (member->paused || raft_role(member->raft) != RAFT_LEADER ||
            raft_term(member->raft) < term)
            continue;
        found = id;
        term = raft_term(member->raft);
    }
    return found;
}

bool RaftNetwork::propose(const std::string &command) {
    instance_id_t id = leader();
    if (id == 0)
        return false;
    GPtrArray *output = g_ptr_array_new();
    GBytes *bytes = g_bytes_new(command.data(), command.size());
    bool accepted = raft_propose(members[id]->raft, bytes, now_ms, output) != 0;
    g_bytes_unref(bytes);
    flush(output);
    g_ptr_array_unref(output);
    return accepted;
}

void RaftNetwork::crash(instance_id_t id) {
    members.erase(id);
    report_dead(id);
}

void RaftNetwork::report_dead(instance_id_t id) {
    for (auto &[other, member] : members)
        if (raft_leader(member->raft) == id)
            raft_leader_lost(member->raft, now_ms);
}

std::vector<std::string> RaftNetwork::agreed() const {
    std::vector<std::string> longest;
    for (const auto &[id, member] : members)
        if (member->applied.size() > longest.size())
            longest = member->applied;
    for (const auto &[id, member] : members)
        for (size_t i = 0; i < member->applied.size(); i++)
            EXPECT_EQ(member->applied[i], longest[i]) << "member " << id << " entry " << i;
    return longest;
}
