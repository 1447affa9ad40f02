#ifndef TESTS_STANDIN_HTTP_CLIENT_H
#define TESTS_STANDIN_HTTP_CLIENT_H

#include <curl/curl.h>
#include <jansson.h>
#include <string>

// A client with one connection to a server, kept open between calls.
class HttpClient
{
      public:
	explicit HttpClient(std::string address) : address(std::move(address))
	{
		curl = curl_easy_init();
	}
	~HttpClient()
	{
		curl_easy_cleanup(curl);
		json_decref(body);
	}
	HttpClient(const HttpClient &) = delete;
	HttpClient &operator=(const HttpClient &) = delete;

	// Sends a request. Returns the status, or 0 if there was no response.
	long call(const char *method, const std::string &path,
		  const std::string &data = "", const char *header = nullptr,
		  long timeout_ms = 10000)
	{
		response.clear();
		etag.clear();
		curl_slist *list =
			header ? curl_slist_append(nullptr, header) : nullptr;
		std::string url = "http://" + address + path;
		curl_easy_reset(curl);
		curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
		curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
		curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, timeout_ms);
		// A read callback that cannot rewind keeps curl from sending
		// the request again when the connection closes.
		unsent = data;
		if (!data.empty()) {
			curl_easy_setopt(curl, CURLOPT_POST, 1L);
			curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE,
					 (long)data.size());
			curl_easy_setopt(curl, CURLOPT_READFUNCTION, on_send);
			curl_easy_setopt(curl, CURLOPT_READDATA, &unsent);
		}
		curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
		curl_easy_setopt(curl, CURLOPT_HTTPHEADER, list);
		curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
		curl_easy_setopt(curl, CURLOPT_WRITEDATA, &response);
		curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
		curl_easy_setopt(curl, CURLOPT_HEADERDATA, this);
		CURLcode rc = curl_easy_perform(curl);
		long status = 0;
		if (rc == CURLE_OK)
			curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE,
					  &status);
		curl_slist_free_all(list);
		json_decref(body);
		body = json_loadb(response.data(), response.size(), 0, nullptr);
		return status;
	}
	std::string field(const char *name)
	{
		const char *s = json_string_value(json_object_get(body, name));
		return s ? s : "";
	}
	long long number(const char *name)
	{
		return json_integer_value(json_object_get(body, name));
	}
	// Returns the value of the first row, or -1 if there is none.
	long long value()
	{
		json_t *row = json_array_get(json_object_get(body, "rows"), 0);
		json_t *v = json_object_get(row, "value");
		return v ? json_integer_value(v) : -1;
	}

	std::string address;
	std::string response;
	std::string etag;
	json_t *body = nullptr;

      private:
	static size_t on_body(char *p, size_t size, size_t n, void *ctx)
	{
		static_cast<std::string *>(ctx)->append(p, size * n);
		return size * n;
	}
	static size_t on_send(char *p, size_t size, size_t n, void *ctx)
	{
		auto *unsent_data = static_cast<std::string *>(ctx);
		size_t len = unsent_data->copy(p, size * n);
		unsent_data->erase(0, len);
		return len;
	}
	static size_t on_header(char *p, size_t size, size_t n, void *ctx)
	{
		std::string line(p, size * n);
		if (line.rfind("ETag: ", 0) == 0)
			static_cast<HttpClient *>(ctx)->etag =
				line.substr(6, line.find('\r') - 6);
		return size * n;
	}
	CURL *curl;
	std::string unsent;
};

#endif
