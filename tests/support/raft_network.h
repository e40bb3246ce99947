/**
 * @file raft_network.h
 * A group of raft_t members joined by a lossy network in virtual time, all from one seed.
 * Every member applies its log to a list of text commands, which tests compare.
 */
#ifndef RUDDERWAY_TESTS_RAFT_NETWORK_H
#define RUDDERWAY_TESTS_RAFT_NETWORK_H

#include <glib.h>

extern "C" {
#include "core/replication/raft.h"
}

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

struct Member {
    raft_t *raft = nullptr;
    std::vector<std::string> applied;
    bool paused = false;
    ~Member();
};

class RaftNetwork {
  public:
    explicit RaftNetwork(uint64_t seed, uint32_t voters);
    ~RaftNetwork();

    /** Advances time by @p milliseconds, one at a time. */
    void run(int64_t milliseconds);
    /** Proposes at the leader with the highest term; false if there is none. */
    bool propose(const std::string &command);
    /** Forgets a member; a new instance with an empty memory may join instead. */
    void crash(instance_id_t id);
    instance_id_t add_member();
    instance_id_t leader() const;
    /** Tells every member that @p id is dead, as the node's membership would. */
    void report_dead(instance_id_t id);
    /** Commands that some member has applied, in order; fails the test if members disagree. */
    std::vector<std::string> agreed() const;

    std::map<instance_id_t, std::unique_ptr<Member>> members;
    std::set<std::pair<instance_id_t, instance_id_t>> cut; /**< From, to. */
    double loss = 0;
    double duplication = 0;
    int64_t delay_maximum_ms = 5;
    int64_t now_ms = 1000;
    uint64_t messages_sent = 0;

    void flush(GPtrArray *output);

  private:
    std::multimap<int64_t, raft_message_t *> in_flight;
    std::mt19937_64 random;
    instance_id_t next_id = 1;

    raft_t *create(instance_id_t id, Member *member);
};

#endif
