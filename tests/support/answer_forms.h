// Malformed HTTP answers, which each reader must refuse, and unusual ones that are well-formed (RFC
// 9110, 5.1, 5.5, 15; RFC 9112, 4, 5, 6 and 7.1).
#ifndef RUDDERWAY_TESTS_ANSWER_FORMS_H
#define RUDDERWAY_TESTS_ANSWER_FORMS_H

#include <string>
#include <vector>

struct AnswerForm {
    std::string name;
    std::string bytes;
    bool neon_tells; // Whether neon shows the fault; it ignores some malformed lines.
};

// Each answer has the body, ends its connection, and is refused.
inline std::vector<AnswerForm> malformed_answers(const std::string &body) {
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const std::string end = "Connection: close\r\n\r\n" + body;
    char size[32];
    snprintf(size, sizeof size, "%zx\r\n", body.size());
    const std::string chunks = size + body + "\r\n0\r\n\r\n";
    const std::string close = "Connection: close\r\n";
    std::vector<AnswerForm> forms;
    for (const char *status : {"000", "001", "099", "600", "666", "700", "999"})
        forms.push_back({std::string("status ") + status,
                         std::string("HTTP/1.1 ") + status + " X\r\n" + length + end, true});
    for (const char *status :
         {"2", "20", "0200", "1000", "-20", "+200", "20x", "x200", "99999999999"})
        forms.push_back({std::string("status ") + status,
                         std::string("HTTP/1.1 ") + status + " X\r\n" + length + end, false});
    for (const char *line :
         {"HTTP/1.1 000", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200OK",
          "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1 200 OK", "HTTP/1.10 200 OK",
          "http/1.1 200 OK", "ICY 200 OK", "HTTP/1.1 200 O\x01K", " HTTP/1.1 200 OK",
          "HTTP/1.1 101 Switching Protocols"})
        forms.push_back({line, std::string(line) + "\r\n" + length + end, false});
    for (const char *status : {"000", "600"})
        forms.push_back(
            {std::string("interim ") + status,
             std::string("HTTP/1.1 ") + status + " X\r\n\r\nHTTP/1.1 200 OK\r\n" + length + end,
             false});
    for (const char *line : {"X Mark: v",
                             "X-Mark : v",
                             "X-Mark\t: v",
                             " X-Mark: v",
                             "\tX-Mark: v",
                             "Content Length: 5",
                             "Content-Length : 20",
                             "Transfer-Encoding : chunked",
                             "Transfer Encoding: chunked",
                             "Response-Signature : s",
                             "X\x01Mark: v",
                             "X\x0bMark: v",
                             "X\x7fMark: v",
                             "X\x80Mark: v",
                             "X\rMark: v",
                             "X(Mark: v",
                             "X/Mark: v",
                             "X@Mark: v",
                             "X\"Mark: v",
                             "X,Mark: v",
                             "X;Mark: v",
                             "X=Mark: v",
                             "X[Mark: v",
                             "X{Mark: v",
                             ": v",
                             "X-Mark",
                             "X-Mark: a\x01",
                             "X-Mark: a\x7f",
                             "X-Mark: a\x0b",
                             "X-Mark: a\r\n b",
                             "X-Mark: a\r\n\tb",
                             "Content-Length: x",
                             "Content-Length: -1",
                             "Transfer-Encoding: xchunked",
                             "Transfer-Encoding: chunked, gzip",
                             "Transfer-Encoding: gzip, chunked",
                             "Transfer-Encoding: chunked, chunked",
                             "Transfer-Encoding: identity",
                             "Transfer-Encoding: chunked;a=b",
                             "Transfer-Encoding:"}) {
        bool coding = std::string(line).rfind("Transfer-Encoding: ", 0) == 0;
        const std::string begin = "HTTP/1.1 200 OK\r\n";
        forms.push_back({line, begin + line + "\r\n" + (coding ? "" : length) + end, coding});
        forms.push_back({std::string(line) + " (last)",
                         begin + (coding ? "" : length) + close + line + "\r\n\r\n" + body,
                         coding});
        if (!coding)
            forms.push_back(
                {std::string(line) + " (chunks)",
                 begin + line + "\r\nTransfer-Encoding: chunked\r\n" + close + "\r\n" + chunks,
                 false});
    }
    forms.push_back({"NUL in a name",
                     std::string("HTTP/1.1 200 OK\r\nX") + '\0' + "Mark: v\r\n" + length + end,
                     false});
    forms.push_back({"NUL in a value",
                     std::string("HTTP/1.1 200 OK\r\nX-Mark: a") + '\0' + "\r\n" + length + end,
                     false});
    forms.push_back(
        {"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" + length + end, false});
    forms.push_back(
        {"a length and chunks",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + length + close + "\r\n" + chunks,
         false});
    forms.push_back(
        {"two codings",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n" + close +
             "\r\n" + chunks,
         true});
    forms.push_back({"chunks of HTTP/1.0",
                     "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks, false});
    forms.push_back({"a size that is none",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + close + "\r\nx" + chunks,
                     true});
    return forms;
}

// Unusual answers that are well-formed and whole.
inline std::vector<AnswerForm> odd_answers(const std::string &body) {
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const std::string end = "Connection: close\r\n\r\n" + body;
    const std::string begin = "HTTP/1.1 200 OK\r\n";
    char size[32];
    snprintf(size, sizeof size, "%zx\r\n", body.size());
    std::vector<AnswerForm> forms;
    for (const char *line :
         {"HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.1 200 \xc3\xa9t\xc3\xa9\tOK"})
        forms.push_back({line, std::string(line) + "\r\n" + length + end, true});
    for (const char *line : {"X-Mark:", "X-Mark:v", "X-Mark:  v  ", "X-Mark:\tv",
                             "X-Mark: \xc3\xa9", "!#$%&'*+-.^_`|~09az: v", "X-Mark: a:b"})
        forms.push_back({line, begin + line + "\r\n" + length + end, true});
    forms.push_back({"chunks",
                     begin + "transfer-encoding:\t CHUNKED \r\nConnection: close\r\n\r\n" + size +
                         body + "\r\n0\r\nX-Trailer: v\r\n\r\n",
                     true});
    forms.push_back({"no length", begin + end, true});
    forms.push_back({"an interim head before it",
                     "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + begin + length + end,
                     true});
    return forms;
}

#endif
